//! Parser for operators' declaration files: one or more YAML documents, separated by `---`.

use crate::codes::ResultCode;
use crate::declarations::{Content, DomainState, Publication, ServiceSpec};
use crate::keys::DomainId;
use crate::profile::{FieldError, MAX_DOCUMENT_BYTES, Profile};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_yaml_ng::{Mapping, Value};
use std::net::SocketAddr;
use thiserror::Error;

/// Reason why a file was refused. None of its documents is applied.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document is not YAML, or a field is unknown, missing or of the wrong type.
    #[error("document {index}: {message}")]
    Malformed {
        /// Position in the file, from 1.
        index: usize,
        /// Description of the field and the reason.
        message: String,
    },
    /// The value of a field is not allowed.
    #[error("document {index}: {source}")]
    Field {
        /// Position in the file, from 1.
        index: usize,
        /// The field, its value and what is allowed.
        source: FieldError,
    },
    /// The file exceeds [`MAX_DOCUMENT_BYTES`]. Holds its size in bytes.
    #[error("file of {0} bytes exceeds the limit of {MAX_DOCUMENT_BYTES}")]
    TooLarge(usize),
    /// The file holds no document.
    #[error("no document found")]
    Empty,
}

impl DocumentError {
    /// Result code of the refusal.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Malformed { .. } | Self::Empty => ResultCode::BadDocument,
            Self::Field { .. } => ResultCode::BadField,
            Self::TooLarge(_) => ResultCode::DocumentTooLarge,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceDocument {
    version: u64,
    name: String,
    address: SocketAddr,
    profile: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DomainDocument {
    version: u64,
    domain: DomainId,
    state: DomainState,
}

/// Parses all documents of a file as publications of `operator`. Empty documents are skipped.
///
/// # Errors
/// The file is too large or holds no document; otherwise the error of the first document that is malformed
/// or has a value that is not allowed.
pub fn parse(text: &str, operator: &str) -> Result<Vec<Publication>, DocumentError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge(text.len()));
    }
    let mut publications = Vec::new();
    for (position, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
        let index = position + 1;
        let value = Value::deserialize(document).map_err(|e| malformed_error(index, &e))?;
        if value.is_null() {
            continue;
        }
        publications.push(parse_document(index, value, operator)?);
    }
    if publications.is_empty() {
        return Err(DocumentError::Empty);
    }
    Ok(publications)
}

fn parse_document(
    index: usize,
    value: Value,
    operator: &str,
) -> Result<Publication, DocumentError> {
    let mut mapping: Mapping = deserialize(index, value)?;
    let kind = mapping.remove("kind").and_then(|kind| kind.as_str().map(str::to_owned));
    let fields = Value::Mapping(mapping);
    let (version, content) = match kind.as_deref() {
        Some("profile") => {
            let profile: Profile = deserialize(index, fields)?;
            (profile.version, Content::Profile(profile))
        }
        Some("service") => {
            let document: ServiceDocument = deserialize(index, fields)?;
            let ServiceDocument { version, name, address, profile } = document;
            (version, Content::Service(ServiceSpec { name, address, profile }))
        }
        Some("domain") => {
            let document: DomainDocument = deserialize(index, fields)?;
            (document.version, Content::Domain(document.domain, document.state))
        }
        other => {
            let found = other.unwrap_or("nothing");
            let source = FieldError::new("kind", found, "profile, service or domain");
            return Err(DocumentError::Field { index, source });
        }
    };
    content.check().map_err(|source| DocumentError::Field { index, source })?;
    Ok(Publication { version, operator: operator.to_owned(), content })
}

fn deserialize<T: DeserializeOwned>(index: usize, value: Value) -> Result<T, DocumentError> {
    serde_yaml_ng::from_value(value).map_err(|e| malformed_error(index, &e))
}

fn malformed_error(index: usize, error: &serde_yaml_ng::Error) -> DocumentError {
    DocumentError::Malformed { index, message: error.to_string() }
}
