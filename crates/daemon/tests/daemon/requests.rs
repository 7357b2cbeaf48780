//! Keyed requests through the real daemons.

use crate::support::{Cluster, post, result_code, settings};

/// Guards against a broken path between a caller and a target, and against a resend through another entry
/// that runs the request again or gets a different response.
#[tokio::test]
async fn resend_through_another_entry_is_not_run_again() {
    let cluster = Cluster::start(settings()).await;
    let callers = cluster.callers();
    let first = post(callers[0], "orders", "order-1", "wicks=4").await.unwrap();
    assert_eq!(result_code(&first), Some(0));
    for caller in &callers[1..] {
        let again = post(*caller, "orders", "order-1", "wicks=4").await.unwrap();
        assert_eq!(result_code(&again), Some(1));
        assert_eq!(again.body(), first.body());
    }
    let other = post(callers[2], "orders", "order-1", "wicks=5").await.unwrap();
    assert_eq!(result_code(&other), Some(2008));
    assert_eq!(cluster.runs_with_key("order-1").await, 1);
    cluster.deployment.stop().await.unwrap();
}
