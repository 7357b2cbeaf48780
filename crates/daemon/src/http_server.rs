//! Serves HTTP requests with gotham on a listener until stopped, and counts the requests in flight.

use futures_util::future;
use gotham::handler::{HandlerFuture, NewHandler};
use gotham::state::State;
use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Interval at which a stopping server checks for requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Handler of all HTTP requests of one listener.
pub trait Service: Send + Sync + RefUnwindSafe + 'static {
    /// Handles one request. The returned future yields the state and the response.
    fn call(self: Arc<Self>, state: State) -> Pin<Box<HandlerFuture>>;
}

/// Shared counter of the requests in flight at one server.
#[derive(Clone, Default)]
pub struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Counts one request until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(&self.0))
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight, at most for `limit`. Returns false if the limit was reached.
    pub async fn wait_idle(&self, limit: Duration) -> bool {
        let wait = async {
            while self.count() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        tokio::time::timeout(limit, wait).await.is_ok()
    }
}

/// Removes one request from the count when dropped.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

struct ServiceHandler<S>(Arc<S>);

impl<S: Service> NewHandler for ServiceHandler<S> {
    type Instance = ServiceInstance<S>;

    fn new_handler(&self) -> gotham::anyhow::Result<Self::Instance> {
        Ok(ServiceInstance(Arc::clone(&self.0)))
    }
}

struct ServiceInstance<S>(Arc<S>);

impl<S: Service> gotham::handler::Handler for ServiceInstance<S> {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        self.0.call(state)
    }
}

/// Accepts connections until `stop` becomes true.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    mut stop: watch::Receiver<bool>,
) {
    let accepting = gotham::bind_server(listener, ServiceHandler(service), |stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("can't set TCP_NODELAY: {error}");
        }
        future::ready(Ok::<_, ()>(stream))
    });
    tokio::select! {
        _ = accepting => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
