//! Minimal HTTP/1.1 and JSON for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response: its first line, its header lines and its body.
#[derive(Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<String>,
    pub body: String,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n").map(str::to_owned);
    let first = lines.next().unwrap_or_default();
    let mut message = Message { first, headers: lines.collect(), body: String::new() };
    let length = message.header("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let total = end + 4 + length;
    while buffer.len() < total {
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    }
    message.body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
    buffer.drain(..total);
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 4096];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

/// Writes a JSON response.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends one request on a new connection and waits for the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let message = read(&mut stream, &mut Vec::new())?;
    message.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "no answer"))
}

/// Returns the text of a member of a flat JSON object, without quotes.
pub fn member<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let at = json.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = json[at..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split([',', '}']).next().map(str::trim)
}

/// Returns a whole number of a flat JSON object.
pub fn number(json: &str, key: &str) -> Option<u64> {
    member(json, key)?.parse().ok()
}
