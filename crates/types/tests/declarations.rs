//! Tests of the replicated state: one publication per version number, the same outcome for a resend.

use comfreyhold_types::declarations::{Content, Outcome, Publication, ServiceSpec};
use comfreyhold_types::prelude::*;

fn publication(version: u64, operator: &str, deadline_ms: u64) -> Publication {
    let profile = Profile::builder().name("orders").deadline_ms(deadline_ms).build();
    Publication { version, operator: operator.to_owned(), content: Content::Profile(profile) }
}

fn publish(state: &mut Declarations, publication: Publication) -> Outcome {
    state.apply(state.revision.next(), &Command::Publish(publication))
}

/// Guards against accepting two operators' publications under the same version number.
#[test]
fn racing_publications_have_one_winner() {
    let mut state = Declarations::default();
    assert_eq!(publish(&mut state, publication(1, "ana", 500)), Outcome::Accepted(Revision(1)));
    let second = publish(&mut state, publication(1, "bia", 900));
    assert_eq!(second, Outcome::Conflict { winner: "ana".to_owned(), revision: Revision(1) });
    assert_eq!(state.profiles["orders"].deadline_ms, 500);
}

/// Guards against refusing a publication that is resent after a lost response, when newer versions exist.
#[test]
fn resend_gets_the_first_answer_after_newer_versions() {
    let mut state = Declarations::default();
    publish(&mut state, publication(1, "ana", 500));
    publish(&mut state, publication(2, "ana", 600));
    let resent = publish(&mut state, publication(1, "ana", 500));
    assert_eq!(resent, Outcome::Duplicate(Revision(1)));
    assert_eq!(state.profiles["orders"].deadline_ms, 600);
}

/// Guards against accepting a skipped version number, which would hide a lost publication.
#[test]
fn version_gap_is_refused() {
    let mut state = Declarations::default();
    assert_eq!(publish(&mut state, publication(3, "ana", 500)), Outcome::Gap { expected: 1 });
}

/// Guards against accepting a service whose profile is not declared.
#[test]
fn service_needs_a_declared_profile() {
    let mut state = Declarations::default();
    let spec = ServiceSpec {
        name: "orders".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        profile: "missing".to_owned(),
    };
    let content = Content::Service(spec);
    let publication = Publication { version: 1, operator: "ana".to_owned(), content };
    let outcome = publish(&mut state, publication);
    assert_eq!(outcome.code(), ResultCode::UnknownName);
}

/// Guards against out-of-range fields reaching the replicated state.
#[test]
fn profile_bounds_are_checked() {
    let mut state = Declarations::default();
    let outcome = publish(&mut state, publication(1, "ana", 1));
    insta::assert_yaml_snapshot!(outcome, @r#"
    refused:
      code: bad-field
      reason: "field `deadline_ms`: 1 is not allowed; allowed: 10 to 600000"
    "#);
}
