//! One HTTP call over a connection of its own.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Calls a server and waits for the whole answer, at most for `limit`.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Answer> {
    let end = Instant::now() + limit;
    let left = || {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(Error::from(ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), left()?)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(left()?))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    loop {
        stream.set_read_timeout(Some(left()?))?;
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => text.extend_from_slice(&buf[..len]),
            Err(error) => return Err(error),
        }
        if let Some(answer) = parse(&text, false) {
            return Ok(answer);
        }
    }
    parse(&text, true).ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}

fn parse(text: &[u8], is_end: bool) -> Option<Answer> {
    let head_end = text.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&text[..head_end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = &text[head_end + 4..];
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) if body.len() >= length => {
            Some(Answer { status, body: body[..length].to_vec() })
        }
        None if is_end => Some(Answer { status, body: body.to_vec() }),
        _ => None,
    }
}
