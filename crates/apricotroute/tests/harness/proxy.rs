//! A TCP proxy that can be cut silently, slowed, and healed.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net,
    sync::{self, atomic},
    thread, time,
};

/// How often a blocked copy looks at the faults.
const STEP: time::Duration = time::Duration::from_millis(10);

#[derive(Debug, Default)]
struct Faults {
    cut: atomic::AtomicBool,
    delay: atomic::AtomicU64,
    ended: atomic::AtomicBool,
}

/// Forwards connections to one address.
#[derive(Debug)]
pub struct Proxy {
    address: net::SocketAddr,
    faults: sync::Arc<Faults>,
}

impl Proxy {
    /// Starts to forward to `target`.
    pub fn start(target: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let faults = sync::Arc::<Faults>::default();
        let shared = sync::Arc::clone(&faults);
        thread::spawn(move || accept(&listener, target, &shared));
        Self { address, faults }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// While cut, bytes stay where they are in both directions and nobody is told.
    pub fn cut(&self, cut: bool) {
        self.faults.cut.store(cut, atomic::Ordering::SeqCst);
    }

    /// Delays every read by so many milliseconds.
    pub fn delay(&self, ms: u64) {
        self.faults.delay.store(ms, atomic::Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.faults.ended.store(true, atomic::Ordering::SeqCst);
        // Wakes the accepting thread.
        drop(net::TcpStream::connect(self.address));
    }
}

fn accept(listener: &net::TcpListener, target: net::SocketAddr, faults: &sync::Arc<Faults>) {
    for stream in listener.incoming() {
        if faults.ended.load(atomic::Ordering::SeqCst) {
            return;
        }
        let Ok(near) = stream else { continue };
        let faults = sync::Arc::clone(faults);
        thread::spawn(move || {
            wait(&faults);
            let Ok(far) = net::TcpStream::connect(target) else {
                return;
            };
            let (near_copy, far_copy) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            let shared = sync::Arc::clone(&faults);
            thread::spawn(move || copy(near_copy, far_copy, &shared));
            copy(far, near, &faults);
        });
    }
}

fn wait(faults: &Faults) {
    while faults.cut.load(atomic::Ordering::SeqCst) && !faults.ended.load(atomic::Ordering::SeqCst)
    {
        thread::sleep(STEP);
    }
}

fn copy(mut from: net::TcpStream, mut to: net::TcpStream, faults: &Faults) {
    from.set_read_timeout(Some(STEP)).unwrap();
    to.set_nodelay(true).unwrap();
    let mut buffer = vec![0; 64 << 10];
    loop {
        wait(faults);
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if faults.ended.load(atomic::Ordering::SeqCst) {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        let delay = faults.delay.load(atomic::Ordering::SeqCst);
        if delay > 0 {
            thread::sleep(time::Duration::from_millis(delay));
        }
        wait(faults);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The other direction may have ended both already.
    drop(from.shutdown(net::Shutdown::Both));
    drop(to.shutdown(net::Shutdown::Both));
}
