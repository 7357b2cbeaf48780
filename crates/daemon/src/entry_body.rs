//! Body of a large response, forwarded to the caller while it is read from the target.

use crate::entry::Entry;
use crate::entry_requests::TaskCommand;
use crate::http_server::InFlightGuard;
use crate::upstream::Connection;
use bytes::Bytes;
use comfreyhold_request::client::Event;
use comfreyhold_request::message::AttemptId;
use comfreyhold_types::prelude::*;
use hyper::body::{Body, Frame, Incoming};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Reports the result once the complete response was read. A truncated response ends with an error, which
/// makes the server abort the caller's connection, so that it never looks complete.
pub struct ResponseBody {
    entry: Arc<Entry>,
    service: ServiceId,
    attempt: AttemptId,
    first: Option<Bytes>,
    rest: Option<(Incoming, Connection)>,
    commands: mpsc::UnboundedReceiver<TaskCommand>,
    finished: bool,
    _guard: InFlightGuard,
}

impl ResponseBody {
    /// Creates the body from the part that was read and the unread rest.
    pub fn new(
        entry: Arc<Entry>,
        service: ServiceId,
        attempt: AttemptId,
        first: Bytes,
        rest: Option<(Incoming, Connection)>,
        commands: mpsc::UnboundedReceiver<TaskCommand>,
        guard: InFlightGuard,
    ) -> Self {
        Self {
            entry,
            service,
            attempt,
            first: Some(first),
            rest,
            commands,
            finished: false,
            _guard: guard,
        }
    }

    fn finish(&mut self, event: Event) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.entry.requests.handle_event(event);
        self.rest = None;
        self.count_result();
    }

    /// Counts the result if the client core has reported one.
    fn count_result(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            if let TaskCommand::Finish(code) = command {
                self.entry.counts.count_request(self.service, code);
            }
        }
    }

    /// Ends the response when the client core has finished the request, such as at its deadline.
    fn poll_commands(&mut self, cx: &mut Context<'_>) -> Option<ResultCode> {
        while let Poll::Ready(Some(command)) = self.commands.poll_recv(cx) {
            if let TaskCommand::Finish(code) = command {
                self.finished = true;
                self.rest = None;
                self.entry.counts.count_request(self.service, code);
                return Some(code);
            }
        }
        None
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if let Some(code) = self.poll_commands(cx) {
            return Poll::Ready(Some(Err(io::Error::other(code.to_string()))));
        }
        let Some((body, _)) = self.rest.as_mut() else { return Poll::Ready(None) };
        match Pin::new(body).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(error))) => {
                let attempt = self.attempt;
                self.finish(Event::ResponseLost(attempt));
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(None) => {
                let attempt = self.attempt;
                self.finish(Event::Answered(attempt));
                Poll::Ready(None)
            }
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let request = self.attempt.request;
        self.finish(Event::Cancelled(request));
    }
}
