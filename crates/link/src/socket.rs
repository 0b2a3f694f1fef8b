//! TCP sockets: listening ones, and connections to other processes.

use std::{io, net, time};

/// Maximum number of connections that wait to be accepted. The system drops further connections,
/// and their clients retry after 1 s. The default of 128 was exceeded in most runs with 400
/// connections in a row. The system may apply a lower limit (`net.core.somaxconn`, 4,096 by default).
const BACKLOG: u32 = 4_096;

/// Pause after a connection could not be accepted, as the process is out of file descriptors until
/// some connections end.
pub(crate) const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Opens a listening socket on `address` for `runtime`. Connections of a former socket on this
/// address may still be closing.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) fn listen(
    runtime: &tokio::runtime::Runtime,
    address: net::SocketAddr,
) -> io::Result<tokio::net::TcpListener> {
    let _guard = runtime.enter();
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Connects to `address` within `timeout`. Data is sent without waiting for more of it.
///
/// # Errors
///
/// Returns an error if the address does not accept the connection in time.
pub(crate) async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<tokio::net::TcpStream> {
    let stream = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
