//! HTTP calls of the operator and of backends: one connection each, closed after the response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A complete response.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request and reads the whole response within `timeout`. The error says what was missing.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Response, String> {
    let deadline = Instant::now() + timeout;
    let left = || deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&to, left()).map_err(|error| error.to_string())?;
    stream.set_write_timeout(Some(left())).map_err(|error| error.to_string())?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(|error| error.to_string())?;
    stream.write_all(body).map_err(|error| error.to_string())?;
    let mut bytes = Vec::new();
    let mut buf = [0; 65_536];
    loop {
        if let Some(response) = parse(&bytes)? {
            return Ok(response);
        }
        stream.set_read_timeout(Some(left())).map_err(|error| error.to_string())?;
        match stream.read(&mut buf) {
            Ok(0) => return Err("the connection ended before the response".to_owned()),
            Ok(len) => bytes.extend_from_slice(&buf[..len]),
            Err(_) => return Err("no response in time".to_owned()),
        }
    }
}

/// Parses a response with a `Content-Length`. `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<Response>, String> {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| format!("no status in {head:?}"))?;
    let length = head.lines().filter_map(|line| line.split_once(':')).find_map(|(name, value)| {
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let length = length.unwrap_or(0);
    let body = &bytes[end + 4..];
    Ok((body.len() >= length).then(|| Response { status, body: body[..length].to_vec() }))
}
