//! A proxy in front of an executor. While the link is cut it passes no byte in either direction
//! and closes nothing.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Whether a link is cut.
#[derive(Debug, Default)]
pub struct Cut(AtomicBool);

impl Cut {
    /// Whether the link is cut now.
    pub fn is_on(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Cuts or heals the link.
    pub fn set(&self, on: bool) {
        self.0.store(on, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_on() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Starts a proxy from `listen` to `target`.
pub fn start(listen: SocketAddr, target: SocketAddr, cut: Arc<Cut>) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cut = Arc::clone(&cut);
            thread::spawn(move || {
                cut.wait();
                let Ok(server) = TcpStream::connect(target) else { return };
                let (Ok(to), Ok(from)) = (client.try_clone(), server.try_clone()) else { return };
                let back = Arc::clone(&cut);
                thread::spawn(move || copy(from, to, &back));
                copy(client, server, &cut);
            });
        }
    });
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16_384];
    while let Ok(count) = from.read(&mut chunk) {
        cut.wait();
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
