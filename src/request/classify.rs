//! Converts HTTP requests to calls: service, branch, kind, deadline and identifiers.

use bytes::Bytes;
use warp::http::{HeaderMap, Method};

use super::call::{Call, Failure, Header, Step};
use super::headers;
use crate::model::config::{Config, RequestKind, ServiceConfig, has_path_prefix};
use crate::model::ids::RequestId;
use crate::model::names::{BranchName, ServerName, ServiceName};
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::request::{Effect, Urgency};
use crate::model::units::US_PER_MS;

/// Lowest value of `u` in the `Priority` header that makes a request ordinary.
///
/// Higher values are less urgent, and 3 is the default (RFC 9218, section 4.1).
const ORDINARY_URGENCY_PARAMETER_MIN: u8 = 4;

/// Maximum time to the deadline, in ms; a longer one stated by the caller is shortened to it.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Maximum length of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// Head of a caller's HTTP request.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path, starting with `/` and the service.
    pub path: String,
    /// Query without `?`; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
}

/// Creates a refusal of a request that was not run.
pub fn refuse(reason: RefusalReason) -> Failure {
    Failure::new(reason, RunState::NotRun, Step::Accept)
}

/// Returns the identifier given by the caller, or else `random_id`.
///
/// # Errors
/// `bad-request` if the header is not 32 hexadecimal digits.
pub fn request_id(fields: &HeaderMap, random_id: u128) -> Result<RequestId, Failure> {
    match header_text(fields, headers::REQUEST_ID)? {
        Some(digits) if digits.len() == 32 => u128::from_str_radix(digits, 16)
            .map(RequestId)
            .map_err(|_parse| refuse(RefusalReason::BadRequest)),
        Some(_other) => Err(refuse(RefusalReason::BadRequest)),
        None => Ok(RequestId(random_id)),
    }
}

/// Returns the service in the path, its configuration and the path relative to it.
///
/// # Errors
/// `unknown-service`, or `no-configuration` while the node has no configuration.
pub fn service_of<'a>(
    config: &'a Config,
    path: &'a str,
) -> Result<(ServiceName, &'a ServiceConfig, &'a str), Failure> {
    if config.version.0 == 0 {
        return Err(refuse(RefusalReason::NoConfiguration));
    }
    let below_root = path.trim_start_matches('/');
    let name_end = below_root.find('/').unwrap_or(below_root.len());
    let (name, rest) = below_root.split_at(name_end);
    let unknown = || refuse(RefusalReason::UnknownService);
    let name = ServiceName::new(name).map_err(|_name| unknown())?;
    let service = config.services.get(&name).ok_or_else(unknown)?;
    Ok((name, service, if rest.is_empty() { "/" } else { rest }))
}

/// Builds the call, with an empty body.
///
/// # Errors
/// The refusal; the request was not run.
pub fn build_call(
    request: &HttpRequest,
    id: RequestId,
    config: &Config,
    now_us: u64,
) -> Result<Call, Failure> {
    let (service, service_config, path) = service_of(config, &request.path)?;
    let branch = branch_of(&request.headers, service_config)?;
    let kind = kind_of(service_config, request.method.as_str(), path);
    let configured = kind.map_or(Urgency::Ordinary, |kind| kind.urgency);
    let effect = kind.map_or_else(|| effect_of(&request.method), |kind| kind.effect);
    let deadline_us = now_us + timeout_ms(&request.headers, service_config)? * US_PER_MS;
    let key = header_text(&request.headers, headers::IDEMPOTENCY_KEY)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES_MAX) {
        return Err(refuse(RefusalReason::BadRequest));
    }
    Ok(Call {
        id,
        service,
        branch,
        urgency: urgency_of(&request.headers, configured),
        effect,
        method: request.method.as_str().to_owned(),
        path: with_query(path, &request.query),
        headers: forwarded_headers(&request.headers),
        body: Bytes::new(),
        deadline_us,
        retry_allowed: header_text(&request.headers, headers::RETRY_ALLOWANCE)? != Some("0"),
        key: key.map(str::to_owned),
        ticket: header_text(&request.headers, headers::TICKET)?.map(str::to_owned),
        server: server_of(&request.headers)?,
    })
}

fn header_text<'a>(fields: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let value = fields.get(name).map(warp::http::HeaderValue::to_str);
    value
        .transpose()
        .map_err(|_not_text| refuse(RefusalReason::BadRequest))
}

fn branch_of(fields: &HeaderMap, service: &ServiceConfig) -> Result<BranchName, Failure> {
    let unknown = || refuse(RefusalReason::UnknownBranch);
    match header_text(fields, headers::BRANCH)? {
        Some(name) => {
            let branch = BranchName::new(name).map_err(|_name| unknown())?;
            if service.branches.contains_key(&branch) {
                Ok(branch)
            } else {
                Err(unknown())
            }
        }
        None if service.branches.len() == 1 => {
            service.branches.keys().next().cloned().ok_or_else(unknown)
        }
        None => Err(unknown()),
    }
}

/// Backend server required by the caller, if any.
fn server_of(fields: &HeaderMap) -> Result<Option<ServerName>, Failure> {
    let name = header_text(fields, headers::SERVER)?;
    let unknown = |_name| refuse(RefusalReason::UnknownServer);
    name.map(ServerName::new).transpose().map_err(unknown)
}

/// Returns the configured kind that has this method and the longest matching path prefix.
fn kind_of<'a>(service: &'a ServiceConfig, method: &str, path: &str) -> Option<&'a RequestKind> {
    service
        .kinds
        .iter()
        .filter(|kind| kind.method.as_ref() == method && has_path_prefix(path, &kind.path_prefix))
        .max_by_key(|kind| kind.path_prefix.len())
}

/// Returns the default effect of a method (RFC 9110, section 9.2.2).
fn effect_of(method: &Method) -> Effect {
    if method.is_idempotent() {
        Effect::Idempotent
    } else {
        Effect::NonIdempotent
    }
}

/// Returns the urgency of a request.
///
/// `Priority` may lower the urgency, but never raise it above the configured one.
fn urgency_of(fields: &HeaderMap, configured: Urgency) -> Urgency {
    let parameter = fields
        .get(headers::PRIORITY)
        .and_then(|value| value.to_str().ok())
        .and_then(urgency_parameter);
    match parameter {
        Some(u) if u >= ORDINARY_URGENCY_PARAMETER_MIN => Urgency::Ordinary,
        _ => configured,
    }
}

/// Returns the value of `u` in a `Priority` header.
fn urgency_parameter(value: &str) -> Option<u8> {
    let parameters = value.split(',').map(str::trim);
    parameters
        .filter_map(|parameter| parameter.strip_prefix("u="))
        .find_map(|u| u.parse().ok())
}

fn timeout_ms(fields: &HeaderMap, service: &ServiceConfig) -> Result<u64, Failure> {
    match header_text(fields, headers::TIMEOUT_MS)? {
        Some(digits) => {
            let stated: u64 = digits
                .parse()
                .map_err(|_parse| refuse(RefusalReason::BadRequest))?;
            if stated == 0 {
                return Err(refuse(RefusalReason::DeadlineLapsed));
            }
            Ok(stated.min(TIMEOUT_MS_MAX))
        }
        None if service.deadline_required => Err(refuse(RefusalReason::DeadlineMissing)),
        None => Ok(service.deadline_ms),
    }
}

fn with_query(path: &str, query: &str) -> String {
    if query.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{query}")
    }
}

fn forwarded_headers(fields: &HeaderMap) -> Vec<Header> {
    fields
        .iter()
        .filter(|(name, _value)| headers::is_forwarded(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
