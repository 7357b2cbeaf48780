//! Reads the file that lists the deployment's processes, and files of declarations. Any daemon's settings
//! file has the fields that the first needs.

use crate::error::CliError;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::{Member, Role};
use comfreyhold_types::declarations::Publication;
use comfreyhold_types::document;
use comfreyhold_types::prelude::DomainId;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Options of every command that contacts the deployment.
#[derive(Clone, Debug, Bpaf)]
pub struct CommonArgs {
    /// File with the deployment's `members`, such as a daemon's settings file
    #[bpaf(short('c'), long("config"), argument("FILE"), env("COMFREYHOLD_CONFIG"))]
    pub config: PathBuf,
}

/// The part of a settings file that lists failure domains and processes.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// Names of the failure domains, by number.
    pub domains: BTreeMap<DomainId, String>,
    /// All daemons, with their roles and addresses.
    pub members: Vec<Member>,
}

impl Deployment {
    /// Reads the deployment file.
    ///
    /// # Errors
    /// The file can't be read, isn't valid YAML, or lacks one of the fields.
    pub fn load(common_args: &CommonArgs) -> Result<Self, CliError> {
        let path = &common_args.config;
        let text = std::fs::read_to_string(path)
            .map_err(|source| CliError::Read { path: path.clone(), source })?;
        serde_yaml_ng::from_str(&text).map_err(|error| CliError::Deployment {
            path: path.clone(),
            message: error.to_string(),
        })
    }

    /// The daemons of a role.
    pub fn members_with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.role == role)
    }

    /// Finds a failure domain by its name or its number.
    ///
    /// # Errors
    /// No domain has this name or number.
    pub fn find_domain(&self, name: &str) -> Result<DomainId, CliError> {
        let found =
            self.domains.iter().find(|(id, known)| *known == name || id.0.to_string() == name);
        found.map(|(id, _)| *id).ok_or_else(|| {
            let known: Vec<_> = self.domains.values().map(String::as_str).collect();
            CliError::Argument(format!("no failure domain {name:?}; known: {}", known.join(", ")))
        })
    }
}

/// Reads and checks a file of declarations. Returns the text, which is what gets published, and its parsed
/// publications.
///
/// # Errors
/// The file can't be read, or a document in it is malformed or has a value out of range.
pub fn read_declarations(
    path: &Path,
    operator: &str,
) -> Result<(String, Vec<Publication>), CliError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    let publications = document::parse(&text, operator)
        .map_err(|source| CliError::Document { path: path.to_owned(), source })?;
    Ok((text, publications))
}
