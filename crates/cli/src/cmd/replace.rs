//! `comfreyhold replace --config FILE INSTANCE DISK`
//!
//! Lets a control instance vote with a new data folder after its old one was lost. `DISK` is the identity
//! of the new folder, as `status` shows it.

use crate::config::{CommonArgs, Deployment, common_args};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::{ReplaceRequest, ResultBody};
use comfreyhold_types::prelude::InstanceId;
use hyper::Method;

/// Arguments of `replace`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Number of the control instance
    #[bpaf(positional("INSTANCE"))]
    instance: u16,
    /// Identity of the new data folder, in hexadecimal
    #[bpaf(positional("DISK"))]
    disk: String,
}

/// Requests the replacement from the leader and prints the result.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let disk = u64::from_str_radix(&args.disk, 16)
        .map_err(|error| CliError::Argument(format!("DISK {:?}: {error}", args.disk)))?;
    let request = ReplaceRequest { instance: InstanceId(args.instance), disk };
    let body = serde_json::to_string(&request)?;
    let response =
        http::block_on(http::call_leader(&deployment, Method::POST, "/v1/replace", &body))?;
    let result: ResultBody = http::parse_body(&response)?;
    println!("{}", result.message);
    Ok(())
}
