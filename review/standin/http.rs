//! Calls over HTTP/1.1, one connection each.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A caller moves on to another daemon after a second without a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a call and returns the status and the body; `None` if no whole response comes in time. The connection is
/// closed then, without a reset.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let mut stream = TcpStream::connect_timeout(&to, RESPONSE_TIMEOUT).ok()?;
    let content = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len())
    };
    let request = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n{content}\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    let mut received = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some(response) = parse(&received) {
            return Some(response);
        }
        let left =
            deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(len) => received.extend_from_slice(&buf[..len]),
        }
    }
}

fn parse(received: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    (body.len() >= length.unwrap_or(0)).then(|| (status, body.to_owned()))
}

pub fn is_success(response: &Option<(u16, String)>) -> bool {
    response.as_ref().is_some_and(|(status, _)| (200..300).contains(status))
}
