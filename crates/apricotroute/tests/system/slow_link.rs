//! A link to one address that carries the bytes of each connection late and in order.

use std::{
    net,
    sync::{self, atomic},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
    sync::mpsc,
    time::Instant,
};

/// A link, which runs until its runtime is dropped.
#[derive(Debug)]
pub struct SlowLink {
    address: net::SocketAddr,
    delay_ms: sync::Arc<atomic::AtomicU64>,
}

impl SlowLink {
    /// Opens a link to `target` that delays nothing yet.
    pub fn open(runtime: &tokio::runtime::Runtime, target: net::SocketAddr) -> Self {
        let listener = runtime.block_on(tcp::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let delay_ms = sync::Arc::<atomic::AtomicU64>::default();
        let delay = sync::Arc::clone(&delay_ms);
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, sync::Arc::clone(&delay)));
            }
        });
        Self { address, delay_ms }
    }

    /// The address on which the link listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Delays all bytes and closes that are read from now on, towards the target.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, atomic::Ordering::SeqCst);
    }
}

async fn forward(
    client: tcp::TcpStream,
    target: net::SocketAddr,
    delay: sync::Arc<atomic::AtomicU64>,
) {
    let Ok(server) = tcp::TcpStream::connect(target).await else { return };
    let (mut client_in, mut client_out) = client.into_split();
    let (mut server_in, mut server_out) = server.into_split();
    let (sender, mut due) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    tokio::spawn(async move {
        let mut buffer = vec![0; 4096];
        // An empty part stands for the end of the connection.
        while let Ok(count) = client_in.read(&mut buffer).await {
            let delay = Duration::from_millis(delay.load(atomic::Ordering::SeqCst));
            if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err()
                || count == 0
            {
                return;
            }
        }
    });
    tokio::spawn(async move {
        // Fails once the client has closed its connection.
        drop(tokio::io::copy(&mut server_in, &mut client_out).await);
    });
    while let Some((at, part)) = due.recv().await {
        tokio::time::sleep_until(at).await;
        if part.is_empty() || server_out.write_all(&part).await.is_err() {
            return;
        }
    }
}
