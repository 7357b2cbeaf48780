//! `comfreyhold diff --config FILE DECLARATIONS...`
//!
//! Shows for each document whether it has been accepted before (`=`), would be accepted (`+`) or would be
//! refused (`!`). Nothing is published.

use crate::config::{CommonArgs, Deployment, common_args, read_declarations};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::DeclarationsReply;
use comfreyhold_types::declarations::{Outcome, Publication};
use comfreyhold_types::prelude::Declarations;
use hyper::Method;
use std::path::PathBuf;

/// Arguments of `diff`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Declaration files in YAML
    #[bpaf(positional("DECLARATIONS"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Prints the expected outcome of each document.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let request = http::call_leader(&deployment, Method::GET, "/v1/declarations", "");
    let reply: DeclarationsReply = http::parse_body(&http::block_on(request)?)?;
    let mut state = reply.state;
    for path in &args.files {
        for publication in read_declarations(path, "diff")?.1 {
            println!("{}", preview_publication(&mut state, publication));
        }
    }
    Ok(())
}

/// Applies the publication to a local copy of the state, so that later documents build on earlier ones.
fn preview_publication(state: &mut Declarations, publication: Publication) -> String {
    let subject = format!("{} version {}", publication.content.subject(), publication.version);
    let revision = state.revision.next();
    let command = comfreyhold_types::prelude::Command::Publish(publication);
    match state.apply(revision, &command) {
        Outcome::Accepted(_) => format!("+ {subject}: would be accepted"),
        Outcome::Duplicate(revision) => format!("= {subject}: accepted at {revision}"),
        Outcome::Conflict { winner, revision } => {
            format!("! {subject}: taken by {winner} at {revision} with other content")
        }
        Outcome::Gap { expected } => format!("! {subject}: the next version is {expected}"),
        Outcome::Refused { reason, .. } => format!("! {subject}: {reason}"),
    }
}
