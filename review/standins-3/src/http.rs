//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and single calls.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let same = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.headers.iter().find(same).map(|(_, value)| value.as_str())
    }
}

/// The answer to a request.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

type Handler = dyn Fn(Request) -> Answer + Send + Sync;

/// Serves requests on a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let builder = thread::Builder::new().stack_size(256 << 10);
            let _spawned = builder.spawn(move || {
                let _ended = serve_connection(stream, handler.as_ref());
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ').map(str::to_owned);
        let path = words.nth(1).unwrap_or_default();
        let Answer { status, body } = handler(Request { path, headers, body });
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("Content-Length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8(body).map_err(|_| io::ErrorKind::InvalidData)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// A response: status and body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Sends one request on a connection of its own, which is closed afterwards.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let end = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        head += &format!("Host: {to}\r\n");
    }
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    (&stream).write_all((head + body).as_bytes())?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) =
        read_message(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok(Response { status: status.ok_or(io::ErrorKind::InvalidData)?, body })
}
