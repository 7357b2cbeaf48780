//! Operators' declaration documents in YAML: one or more per file, separated by `---`.

use crate::codes::ResultCode;
use crate::declarations::{Content, DomainState, Publication, ServiceSpec};
use crate::keys::DomainId;
use crate::profile::{FieldError, MAX_DOCUMENT_BYTES, Profile};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_yaml_ng::{Mapping, Value};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a document was refused. Nothing of the file is applied.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// Not YAML, or a field is unknown, missing or of the wrong type.
    #[error("document {index}: {message}")]
    Malformed {
        /// Position in the file, from 1.
        index: usize,
        /// Field and reason.
        message: String,
    },
    /// A value is out of range.
    #[error("document {index}: {source}")]
    Field {
        /// Position in the file, from 1.
        index: usize,
        /// The field.
        source: FieldError,
    },
    /// The file is too large.
    #[error("file of {0} bytes exceeds the limit of {MAX_DOCUMENT_BYTES}")]
    TooLarge(usize),
    /// The file holds no document.
    #[error("no document found")]
    Empty,
}

impl DocumentError {
    /// The numbered result.
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

/// Parses all documents of a file.
///
/// # Errors
/// The first document that is malformed or out of range.
pub fn parse(text: &str, operator: &str) -> Result<Vec<Publication>, DocumentError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge(text.len()));
    }
    let mut publications = Vec::new();
    for (position, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
        let index = position + 1;
        let value = Value::deserialize(document).map_err(|e| malformed(index, &e))?;
        if value.is_null() {
            continue;
        }
        publications.push(parse_one(index, value, operator)?);
    }
    if publications.is_empty() {
        return Err(DocumentError::Empty);
    }
    Ok(publications)
}

fn parse_one(index: usize, value: Value, operator: &str) -> Result<Publication, DocumentError> {
    let mut mapping: Mapping = read(index, value)?;
    let kind = mapping.remove("kind").and_then(|kind| kind.as_str().map(str::to_owned));
    let fields = Value::Mapping(mapping);
    let (version, content) = match kind.as_deref() {
        Some("profile") => {
            let profile: Profile = read(index, fields)?;
            (profile.version, Content::Profile(profile))
        }
        Some("service") => {
            let document: ServiceDocument = read(index, fields)?;
            let ServiceDocument { version, name, address, profile } = document;
            (version, Content::Service(ServiceSpec { name, address, profile }))
        }
        Some("domain") => {
            let document: DomainDocument = read(index, fields)?;
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

fn read<T: DeserializeOwned>(index: usize, value: Value) -> Result<T, DocumentError> {
    serde_yaml_ng::from_value(value).map_err(|e| malformed(index, &e))
}

fn malformed(index: usize, error: &serde_yaml_ng::Error) -> DocumentError {
    DocumentError::Malformed { index, message: error.to_string() }
}
