//! A caller's request and its answer, free of the transport that carries them.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::decide::key::{KEPT_ANSWER_MAX, KeptAnswer, KeyOutcome, RequestKey};
use crate::error::ResultCode;
use crate::gate::WorkClass;
use crate::name::{ServiceName, TeamName};

/// Header that names an operation (IETF draft "The Idempotency-Key HTTP Header Field").
pub const KEY_HEADER: &str = "idempotency-key";
/// Header of a caller's time limit, in milliseconds.
pub const TIME_LIMIT_HEADER: &str = "x-time-limit-ms";
/// Header of a request's class: urgent, quick or batch.
pub const CLASS_HEADER: &str = "x-class";
/// Header of the caller's team.
pub const TEAM_HEADER: &str = "x-team";
/// Header of an answer that carries the result code.
pub const CODE_HEADER: &str = "x-ibisweir-code";
/// Header of an answer that says whether the request ran: no, yes or unknown.
pub const RAN_HEADER: &str = "x-ibisweir-ran";

/// Headers that belong to one connection (RFC 9110, 7.6.1) or that we set ourselves.
const OWN_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    TIME_LIMIT_HEADER,
];

/// A caller's request, whole and decoded.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service that it names.
    pub service: ServiceName,
    /// How urgent it is.
    pub class: WorkClass,
    /// Team that it counts for.
    pub team: Option<TeamName>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the worker gets them.
    pub path: String,
    /// Headers that go on to the worker.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Its key, if it has one.
    pub key: Option<RequestKey>,
    /// The caller's time limit; the service's holds where none is given.
    pub limit: Option<Duration>,
    /// When its head arrived.
    pub arrived: Instant,
    /// Whether it came from another entry and must not go to a third.
    pub forwarded: bool,
}

impl CallerRequest {
    /// Hash that tells a key's second use for another request from a retry.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.method.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(self.path.as_bytes());
        hash.update(&[0]);
        hash.update(&self.body);
        hash.digest()
    }
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Our code; none if the answer is the worker's own.
    pub code: Option<ResultCode>,
    /// HTTP status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl CallerAnswer {
    /// An answer of our own; `retry_after` tells when it makes sense to ask again.
    pub fn coded(code: ResultCode, retry_after: Option<Duration>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(HeaderName::from_static(CODE_HEADER), HeaderValue::from(code.number()));
        let ran = HeaderValue::from_static(ran_word(code));
        headers.insert(HeaderName::from_static(RAN_HEADER), ran);
        if let Some(after) = retry_after {
            // RFC 9110 gives whole seconds; less than one would invite an immediate retry.
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        let text = serde_json::json!({
            "code": code.number(),
            "name": code.name(),
            "reason": code.sentence(),
        });
        let status = StatusCode::from_u16(code.http_status());
        CallerAnswer {
            code: Some(code),
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
            body: Bytes::from(text.to_string()),
        }
    }

    /// What the key's owner remembers of the answer; nothing if the request was not run.
    pub fn key_outcome(&self) -> Option<KeyOutcome> {
        match self.code {
            Some(code) if code.is_not_run() => None,
            Some(ResultCode::Unknown) => Some(KeyOutcome::Unknown),
            code => {
                let is_kept = code.is_none() && self.body.len() <= KEPT_ANSWER_MAX;
                let content_type = self.headers.get(CONTENT_TYPE);
                Some(KeyOutcome::Done(KeptAnswer {
                    status: self.status.as_u16(),
                    content_type: content_type.and_then(|t| t.to_str().ok()).map(str::to_owned),
                    body: is_kept.then(|| self.body.clone()),
                }))
            }
        }
    }

    /// The answer of a key's first run.
    pub fn replayed(kept: KeptAnswer) -> Self {
        let (Some(body), Ok(status)) = (kept.body, StatusCode::from_u16(kept.status)) else {
            return CallerAnswer::coded(ResultCode::AnswerNotKept, None);
        };
        let mut headers = HeaderMap::new();
        if let Some(value) = kept.content_type.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(CONTENT_TYPE, value);
        }
        CallerAnswer::of_worker(status, &headers, body)
    }

    /// A worker's answer.
    pub fn of_worker(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        let mut headers = end_to_end(headers);
        headers.insert(HeaderName::from_static(RAN_HEADER), HeaderValue::from_static("yes"));
        CallerAnswer { code: None, status, headers, body }
    }
}

fn ran_word(code: ResultCode) -> &'static str {
    match code.number() {
        100..200 => "no",
        200..300 => "unknown",
        _ => "yes",
    }
}

/// The headers that go on to the other side.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(http::header::CONNECTION).iter();
    let named: Vec<String> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let own = OWN_HEADERS.contains(&name.as_str());
        if !own && !named.iter().any(|connection| connection == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
