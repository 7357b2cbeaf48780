//! Tells a slow response from a silent peer, by the bytes that a connection receives. Those that it sends tell nothing: the
//! kernel takes them in whether the peer reads them or not.

use futures_util::io::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::io::Result;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Rate below which a connection counts as silent, in bytes per second. It is a third of the slowest link of an instance
/// (1.5 Mbit/s), which packets and another transfer share.
pub const MIN_TRANSFER_BYTES_PER_S: u64 = 64 * 1024;

/// Number of bytes that a connection has received. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ByteCount(Rc<Cell<u64>>);

impl ByteCount {
    fn add(&self, bytes: usize) {
        self.0.set(self.0.get().wrapping_add(bytes as u64));
    }
}

/// Waits for a response on a connection. After each `timeout` the wait goes on if the connection has received at least
/// [`MIN_TRANSFER_BYTES_PER_S`] meanwhile, so that a message of any size arrives. `None` if it has received less.
pub async fn wait_while_receiving<T>(
    received: &ByteCount,
    timeout: Duration,
    response: impl Future<Output = T>,
) -> Option<T> {
    let min_bytes = timeout.as_secs_f64() * MIN_TRANSFER_BYTES_PER_S as f64;
    let mut response = pin!(response);
    loop {
        let before = received.0.get();
        if let Ok(response) = tokio::time::timeout(timeout, response.as_mut()).await {
            return Some(response);
        }
        if (received.0.get().wrapping_sub(before) as f64) < min_bytes {
            return None;
        }
    }
}

/// A stream whose received bytes are counted.
pub struct CountedStream<S> {
    inner: S,
    received: ByteCount,
}

impl<S> CountedStream<S> {
    /// Counts the bytes that a stream receives.
    pub fn new(inner: S, received: ByteCount) -> Self {
        Self { inner, received }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.received.add(read);
        Poll::Ready(Ok(read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
