//! TCP relays in front of the instances of a system that inject network faults: they delay bytes,
//! block one direction, close streams, or stop the traffic of streams for good.
//!
//! A relay identifies the instance that dialed it by the address in the first message of the
//! stream.

use std::{
    collections, net,
    sync::{self, Mutex, atomic},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
    sync::watch,
};

/// The faults in force between each pair of instances, shared by all relays.
#[derive(Debug)]
pub struct Faults {
    /// Wakes every stream after a change, so that it checks the faults again.
    changed: watch::Sender<u64>,
    blocked: Mutex<collections::BTreeSet<(usize, usize)>>,
    delays: Mutex<collections::BTreeMap<(usize, usize), Duration>>,
    /// Relays close the streams of an instance whose number is below this one.
    closed: Mutex<collections::BTreeMap<usize, u64>>,
    /// Streams of an instance whose number is below this one carry no more traffic.
    blackholed: Mutex<collections::BTreeMap<usize, u64>>,
    /// The number of the next stream.
    next_number: atomic::AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            changed: watch::Sender::new(0),
            blocked: Mutex::default(),
            delays: Mutex::default(),
            closed: Mutex::default(),
            blackholed: Mutex::default(),
            next_number: atomic::AtomicU64::default(),
        }
    }
}

impl Faults {
    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Blocks or unblocks the traffic from one instance to another.
    pub fn set_blocked(&self, from: usize, to: usize, is_blocked: bool) {
        let mut blocked = self.blocked.lock().unwrap();
        if is_blocked {
            blocked.insert((from, to));
        } else {
            blocked.remove(&(from, to));
        }
        drop(blocked);
        self.notify();
    }

    /// Delays the traffic from one instance to another.
    pub fn set_delay(&self, from: usize, to: usize, time: Duration) {
        self.delays.lock().unwrap().insert((from, to), time);
    }

    /// Closes all current streams of an instance; new ones work.
    pub fn reset(&self, at: usize) {
        self.closed.lock().unwrap().insert(at, self.next_number.load(atomic::Ordering::SeqCst));
        self.notify();
    }

    /// Stops the traffic of all current streams of an instance for good and leaves them open; new
    /// streams work.
    pub fn blackhole(&self, at: usize) {
        self.blackholed.lock().unwrap().insert(at, self.next_number.load(atomic::Ordering::SeqCst));
        self.notify();
    }

    /// Removes all blocks and delays; closed and blackholed streams do not recover.
    pub fn heal(&self) {
        self.blocked.lock().unwrap().clear();
        self.delays.lock().unwrap().clear();
        self.notify();
    }

    fn is_blocked(&self, stream: &Stream, from: usize, to: usize) -> bool {
        let older =
            |at| self.blackholed.lock().unwrap().get(at).is_some_and(|n| stream.number < *n);
        self.blocked.lock().unwrap().contains(&(from, to)) || older(&from) || older(&to)
    }

    fn is_closed(&self, stream: &Stream, from: usize, to: usize) -> bool {
        let older = |at| self.closed.lock().unwrap().get(at).is_some_and(|n| stream.number < *n);
        older(&from) || older(&to)
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        self.delays.lock().unwrap().get(&(from, to)).copied().unwrap_or_default()
    }
}

/// The instance behind a relay.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address on which the instance listens.
    pub address: net::SocketAddr,
    /// The index of the instance.
    pub index: usize,
    /// The peer addresses of all instances, by index, as they appear in messages.
    pub peers: Vec<String>,
    /// The faults that the relay applies.
    pub faults: sync::Arc<Faults>,
}

/// A relay, which runs until its runtime is dropped.
#[derive(Debug)]
pub struct Relay;

impl Relay {
    /// Listens on `address` and forwards each stream to `target`.
    pub fn open(runtime: &tokio::runtime::Runtime, address: net::SocketAddr, target: Target) {
        let listener = runtime.block_on(tcp::TcpListener::bind(address)).unwrap();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target.clone()));
            }
        });
    }
}

#[derive(Debug)]
struct Stream {
    number: u64,
    /// The index of the instance that dialed, or [`UNKNOWN`] until the first message.
    dialer: atomic::AtomicUsize,
}

const UNKNOWN: usize = usize::MAX;

async fn forward(inbound: tcp::TcpStream, target: Target) {
    let Ok(outbound) = tcp::TcpStream::connect(target.address).await else { return };
    if inbound.set_nodelay(true).and(outbound.set_nodelay(true)).is_err() {
        return;
    }
    let number = target.faults.next_number.fetch_add(1, atomic::Ordering::SeqCst);
    let stream = Stream { number, dialer: atomic::AtomicUsize::new(UNKNOWN) };
    let ((dialer_in, dialer_out), (target_in, target_out)) =
        (inbound.into_split(), outbound.into_split());
    // Dropping both halves closes the stream on both sides.
    tokio::select! {
        () = copy(dialer_in, target_out, &stream, &target, true) => {}
        () = copy(target_in, dialer_out, &stream, &target, false) => {}
    }
}

async fn copy(
    mut reader: tcp::tcp::OwnedReadHalf,
    mut writer: tcp::tcp::OwnedWriteHalf,
    stream: &Stream,
    target: &Target,
    to_target: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut changed = target.faults.changed.subscribe();
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => Some(read),
            _ = changed.changed() => None,
        };
        if to_target && let Some(Ok(count)) = &read {
            identify(&buffer[..*count], stream, target);
        }
        let dialer = stream.dialer.load(atomic::Ordering::SeqCst);
        let (sender, receiver) =
            if to_target { (dialer, target.index) } else { (target.index, dialer) };
        let faults = &target.faults;
        while faults.is_blocked(stream, sender, receiver) {
            if faults.is_closed(stream, sender, receiver) {
                return;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
        if faults.is_closed(stream, sender, receiver) {
            return;
        }
        match read {
            None => {}
            Some(Ok(count)) if count > 0 => {
                tokio::time::sleep(faults.latency(sender, receiver)).await;
                if writer.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            Some(_) => return,
        }
    }
}

/// Identifies the instance that dialed by its address in the first message of a stream.
fn identify(bytes: &[u8], stream: &Stream, target: &Target) {
    if stream.dialer.load(atomic::Ordering::SeqCst) != UNKNOWN {
        return;
    }
    let found = |address: &String| {
        // Addresses end with the port, so none is a prefix of another.
        bytes.windows(address.len()).any(|part| part == address.as_bytes())
    };
    let others = target.peers.iter().enumerate().filter(|(at, _)| *at != target.index);
    if let Some((at, _)) = others.into_iter().find(|(_, address)| found(address)) {
        stream.dialer.store(at, atomic::Ordering::SeqCst);
    }
}
