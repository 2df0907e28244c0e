//! Names of HTTP headers and rules for forwarding them.

/// Branch that sent the request.
pub const BRANCH: &str = "bronzelock-branch";
/// Time left until the deadline, in ms.
pub const TIMEOUT_MS: &str = "bronzelock-timeout-ms";
/// Identifier of the request, 32 hexadecimal digits.
pub const REQUEST_ID: &str = "bronzelock-request-id";
/// Ticket of a non-idempotent request; in answers, a ticket for the next request.
pub const TICKET: &str = "bronzelock-ticket";
/// `0` forbids retries by the layers below (in requests) or above (in answers).
pub const RETRY_ALLOWANCE: &str = "bronzelock-retry-allowance";
/// Backend server to which the request must be sent.
pub const SERVER: &str = "bronzelock-server";
/// Name of the backend server that answered.
pub const SERVED_BY: &str = "bronzelock-served-by";
/// Number of backend servers tried.
pub const HOPS: &str = "bronzelock-hops";
/// States that the backend server shed the request without running it.
pub const NOT_RUN: &str = "bronzelock-not-run";
/// Idempotency key, with which a caller can repeat a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Urgency requested by the caller (RFC 9218).
pub const PRIORITY: &str = "priority";

/// Connection-specific headers, which are never forwarded (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];

/// Headers that each hop sets anew.
const HOP_HEADERS: [&str; 10] = [
    "host",
    "content-length",
    "expect",
    BRANCH,
    TIMEOUT_MS,
    REQUEST_ID,
    TICKET,
    SERVER,
    RETRY_ALLOWANCE,
    NOT_RUN,
];

/// Whether a header is forwarded between caller and backend server.
pub fn is_forwarded(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name) && !HOP_HEADERS.contains(&name)
}
