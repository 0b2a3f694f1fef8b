//! HTTP/1.1 with bodies of a stated length: calls, and a server with a thread for each connection.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// What came of a call.
#[derive(Debug)]
pub struct Outcome {
    /// Status and body, if a complete answer came.
    pub answer: Option<(u16, String)>,
    /// When the last byte of the request was sent.
    pub sent: Instant,
    /// When the answer was complete, or the connection ended.
    pub ended: Instant,
    /// Why there is no complete answer.
    pub error: String,
}

impl Outcome {
    /// Returns the status; 0 if no complete answer came.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.0)
    }
}

/// Sends a request on a connection of its own and waits for the whole answer.
pub fn call(
    method: &str,
    to: SocketAddr,
    host: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Outcome {
    let mut sent = Instant::now();
    let result = exchange(method, to, host, path, headers, body, timeout, &mut sent);
    let ended = Instant::now();
    match result {
        Ok(answer) => Outcome { answer: Some(answer), sent, ended, error: String::new() },
        Err(error) => Outcome { answer: None, sent, ended, error: error.to_string() },
    }
}

#[expect(clippy::too_many_arguments, reason = "the parts of one request")]
fn exchange(
    method: &str,
    to: SocketAddr,
    host: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
    sent: &mut Instant,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "Content-Type: application/json\r\n";
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    *sent = Instant::now();
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    Ok((status, body))
}

type Headers = Vec<(String, String)>;

/// Reads the first line, the headers and the body of a message.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<(String, Headers, String)> {
    let mut line = || -> io::Result<String> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended"));
        }
        Ok(line.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Headers::new();
    loop {
        let line = line()?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = header(&headers, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok((first, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the value of a header, whose name is in lower case.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

/// A request that a server has read.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub headers: Headers,
    pub body: String,
}

/// Returns the status and the body of the answer to a request.
pub type Handler = Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>;

/// Answers the requests that come to `listener`, for as long as the process runs.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || drop(serve_connection(stream, &handler)));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let (status, text) = handler(&Request { path, headers, body });
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        writer.write_all((head + &text).as_bytes())?;
    }
}
