//! `comfreyhold replace --config FILE INSTANCE DISK`
//!
//! Lets a control instance vote from a new data folder after its old one was lost. `DISK` is the new
//! folder's identity as `status` shows it.

use crate::config::{Common, Deployment, common};
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
    common: Common,
    /// Number of the control instance
    #[bpaf(positional("INSTANCE"))]
    instance: u16,
    /// Identity of the new data folder, in hexadecimal
    #[bpaf(positional("DISK"))]
    disk: String,
}

/// Runs `replace`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let disk = u64::from_str_radix(&args.disk, 16)
        .map_err(|error| CliError::Argument(format!("DISK {:?}: {error}", args.disk)))?;
    let request = ReplaceRequest { instance: InstanceId(args.instance), disk };
    let body = serde_json::to_string(&request)?;
    let reply = http::block_on(http::ask_leader(&deployment, Method::POST, "/v1/replace", &body))?;
    let result: ResultBody = http::read(&reply)?;
    println!("{}", result.message);
    Ok(())
}
