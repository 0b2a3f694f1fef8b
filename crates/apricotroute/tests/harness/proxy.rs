//! A TCP proxy that can stop forwarding silently, delay data, and resume.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net,
    sync::{self, atomic},
    thread, time,
};

/// Interval at which a blocked copy loop checks the injected faults.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

#[derive(Debug, Default)]
struct Faults {
    is_cut: atomic::AtomicBool,
    delay_ms: atomic::AtomicU64,
    is_closed: atomic::AtomicBool,
}

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Proxy {
    address: net::SocketAddr,
    faults: sync::Arc<Faults>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    pub fn start(target: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let faults = sync::Arc::<Faults>::default();
        let shared = sync::Arc::clone(&faults);
        thread::spawn(move || accept(&listener, target, &shared));
        Self { address, faults }
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops or resumes forwarding. While the proxy is cut, it holds the data of both directions
    /// and reports no error to either peer.
    pub fn set_cut(&self, is_cut: bool) {
        self.faults.is_cut.store(is_cut, atomic::Ordering::SeqCst);
    }

    /// Delays the data of every read by `ms` milliseconds.
    pub fn set_delay(&self, ms: u64) {
        self.faults.delay_ms.store(ms, atomic::Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.faults.is_closed.store(true, atomic::Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        drop(net::TcpStream::connect(self.address));
    }
}

fn accept(listener: &net::TcpListener, target: net::SocketAddr, faults: &sync::Arc<Faults>) {
    for stream in listener.incoming() {
        if faults.is_closed.load(atomic::Ordering::SeqCst) {
            return;
        }
        let Ok(client) = stream else { continue };
        let faults = sync::Arc::clone(faults);
        thread::spawn(move || {
            wait_while_cut(&faults);
            let Ok(server) = net::TcpStream::connect(target) else {
                return;
            };
            let (client_copy, server_copy) =
                (client.try_clone().unwrap(), server.try_clone().unwrap());
            let shared = sync::Arc::clone(&faults);
            thread::spawn(move || copy(client_copy, server_copy, &shared));
            copy(server, client, &faults);
        });
    }
}

fn wait_while_cut(faults: &Faults) {
    while faults.is_cut.load(atomic::Ordering::SeqCst)
        && !faults.is_closed.load(atomic::Ordering::SeqCst)
    {
        thread::sleep(POLL_INTERVAL);
    }
}

fn copy(mut from: net::TcpStream, mut to: net::TcpStream, faults: &Faults) {
    from.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    to.set_nodelay(true).unwrap();
    let mut buffer = vec![0; 64 << 10];
    loop {
        wait_while_cut(faults);
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if faults.is_closed.load(atomic::Ordering::SeqCst) {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        let delay_ms = faults.delay_ms.load(atomic::Ordering::SeqCst);
        if delay_ms > 0 {
            thread::sleep(time::Duration::from_millis(delay_ms));
        }
        wait_while_cut(faults);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The copy loop of the other direction may have shut down both streams already.
    drop(from.shutdown(net::Shutdown::Both));
    drop(to.shutdown(net::Shutdown::Both));
}
