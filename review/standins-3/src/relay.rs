//! Relays in front of the peer addresses of nodes. While two nodes are cut off from each other,
//! bytes between them wait, as on a partitioned network.
//!
//! A relay learns who has dialled it from the first message of the stream, which names both ends.

use std::{
    collections::BTreeSet,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// The pairs of nodes between which nothing passes, in this direction.
#[derive(Debug, Default)]
pub struct Cuts {
    pairs: Mutex<BTreeSet<(usize, usize)>>,
    changed: Condvar,
}

impl Cuts {
    pub fn cut(&self, from: usize, to: usize) {
        self.pairs.lock().unwrap().insert((from, to));
    }

    pub fn heal(&self, from: usize, to: usize) {
        self.pairs.lock().unwrap().remove(&(from, to));
        self.changed.notify_all();
    }

    fn wait(&self, from: usize, to: usize) {
        let mut pairs = self.pairs.lock().unwrap();
        while pairs.contains(&(from, to)) {
            pairs = self.changed.wait(pairs).unwrap();
        }
    }
}

/// Listens on `at`, the advertised peer address of node `index`, and passes streams on to `target`.
pub fn start(
    at: SocketAddr,
    target: SocketAddr,
    index: usize,
    peers: Vec<SocketAddr>,
    cuts: Arc<Cuts>,
) {
    let listener = TcpListener::bind(at).expect("the relay's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (peers, cuts) = (peers.clone(), Arc::clone(&cuts));
            thread::spawn(move || {
                let _ended = relay(stream, target, index, &peers, &cuts);
            });
        }
    });
}

fn relay(
    stream: TcpStream,
    target: SocketAddr,
    index: usize,
    peers: &[SocketAddr],
    cuts: &Arc<Cuts>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let inner = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    inner.set_nodelay(true)?;
    // The answers of the server's side are let through until the dialling node is known: they only
    // open the stream.
    let known: Arc<Mutex<Option<usize>>> = Arc::default();
    let (mut from_inner, mut to_outer) = (inner.try_clone()?, stream.try_clone()?);
    let (back, back_cuts) = (Arc::clone(&known), Arc::clone(cuts));
    thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count) = from_inner.read(&mut buffer)
            && count > 0
        {
            let from = *back.lock().unwrap();
            if let Some(from) = from {
                back_cuts.wait(index, from);
            }
            if to_outer.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ended = to_outer.shutdown(Shutdown::Both);
    });
    let (mut from_outer, mut to_inner) = (stream, inner);
    let (mut buffer, mut head) = (vec![0; 64 << 10], Vec::new());
    loop {
        let count = match from_outer.read(&mut buffer) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        let from = *known.lock().unwrap();
        let from = from.or_else(|| {
            head.extend_from_slice(&buffer[..count]);
            let named = |at: &usize| {
                let text = peers[*at].to_string();
                // An address may be the start of a longer one.
                head.windows(text.len() + 1).any(|part| {
                    part.starts_with(text.as_bytes()) && !part[text.len()].is_ascii_digit()
                })
            };
            (0..peers.len()).filter(|at| *at != index).find(named)
        });
        if let Some(from) = from {
            *known.lock().unwrap() = Some(from);
            cuts.wait(from, index);
        }
        if to_inner.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ended = to_inner.shutdown(Shutdown::Both);
    let _ended = from_outer.shutdown(Shutdown::Both);
    Ok(())
}
