//! What an explanation is asked for, and why there is none.

use crate::cookie::{CallerPacket, Cookie, FlowKey, PacketKind};
use comfreyhold_types::codes::ResultCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::str::FromStr;
use thiserror::Error;

/// The packet to explain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Service address and port.
    pub service: SocketAddrV4,
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Cookie of an open flow; `None` for an opening.
    pub cookie: Option<Cookie>,
    /// Sequence number of the opening. The choice by weights and among equal targets depends on it.
    pub seq: u32,
    /// Number of the opening's retransmission.
    pub copy: u32,
}

/// Why a packet is not explained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// A parameter is missing or can't be parsed.
    #[error("{0}")]
    BadQuery(String),
    /// No route has the service address.
    #[error("no route has the service address {0}")]
    NoRoute(SocketAddrV4),
    /// No target and no flow of this entry has the cookie.
    #[error("the cookie {:08x} belongs to no target that this entry knows", .0.0)]
    UnknownCookie(Cookie),
    /// The entry has not received any routes yet.
    #[error("this entry has no routes yet")]
    NoRoutesYet,
    /// The entry is stopping.
    #[error("this entry is stopping")]
    Stopping,
    /// The entry does not answer in time, or too many requests wait.
    #[error("{0}")]
    Unavailable(&'static str),
}

impl ExplainError {
    /// Result code of the refusal.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::BadQuery(_) => ResultCode::BadField,
            Self::NoRoute(_) => ResultCode::NoRoute,
            Self::UnknownCookie(_) => ResultCode::UnknownCookie,
            Self::NoRoutesYet => ResultCode::NoRoutesYet,
            Self::Stopping => ResultCode::Stopping,
            Self::Unavailable(_) => ResultCode::ExplainUnavailable,
        }
    }
}

impl Query {
    /// Parses the query parameters `service`, `caller` and optionally `cookie` (hexadecimal), `seq` and `copy`.
    ///
    /// # Errors
    /// A parameter is missing, unknown, or not of its form.
    pub fn parse(params: &BTreeMap<String, String>) -> Result<Self, ExplainError> {
        const NAMES: [&str; 5] = ["service", "caller", "cookie", "seq", "copy"];
        if let Some(name) = params.keys().find(|name| !NAMES.contains(&name.as_str())) {
            return Err(ExplainError::BadQuery(format!("unknown parameter {name:?}")));
        }
        let address = |name: &str| -> Result<SocketAddrV4, ExplainError> {
            let text = params.get(name);
            let text = text.ok_or_else(|| ExplainError::BadQuery(format!("{name} is missing")))?;
            // Clients may encode the colon.
            parse(name, &text.replace("%3A", ":").replace("%3a", ":"))
        };
        let number = |name: &str| params.get(name).map_or(Ok(0), |text| parse(name, text));
        Ok(Self {
            service: address("service")?,
            caller: address("caller")?,
            cookie: params.get("cookie").map(|text| Self::parse_cookie(text)).transpose()?,
            seq: number("seq")?,
            copy: number("copy")?,
        })
    }

    /// Parses a cookie in hexadecimal digits, with or without `0x`.
    ///
    /// # Errors
    /// The text is not a number of up to 32 bits above 0.
    pub fn parse_cookie(text: &str) -> Result<Cookie, ExplainError> {
        let digits = text.strip_prefix("0x").unwrap_or(text);
        let value = u32::from_str_radix(digits, 16).ok().filter(|value| *value > 0);
        let error = || ExplainError::BadQuery(format!("cookie: {text:?} is no cookie"));
        value.map(Cookie).ok_or_else(error)
    }

    /// Path and query of the request to an entry.
    #[must_use]
    pub fn path(&self) -> String {
        let Self { service, caller, cookie, seq, copy } = self;
        let cookie = cookie.map(|cookie| format!("&cookie={:x}", cookie.0)).unwrap_or_default();
        format!("/explain?service={service}&caller={caller}{cookie}&seq={seq}&copy={copy}")
    }

    /// Header of the packet: an opening, or an acknowledgement without data on an open flow.
    #[must_use]
    pub fn packet(&self) -> CallerPacket {
        let kind = match self.cookie {
            Some(_) => PacketKind::Established,
            None => PacketKind::Open { copy: self.copy },
        };
        CallerPacket {
            flow: FlowKey { caller: self.caller, service: self.service },
            kind,
            cookie: self.cookie.unwrap_or_default(),
            seq: self.seq,
            ack: 0,
            data: 0,
        }
    }
}

fn parse<T: FromStr<Err: std::fmt::Display>>(name: &str, text: &str) -> Result<T, ExplainError> {
    text.parse().map_err(|error| ExplainError::BadQuery(format!("{name}: {text:?}: {error}")))
}
