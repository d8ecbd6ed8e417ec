//! Requests and answers as they travel between entries.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use tokio::time::Instant;

use crate::clock::millis;
use crate::decide::key::RequestKey;
use crate::error::ResultCode;
use crate::peer::{ForwardedAnswer, ForwardedRequest};
use crate::request::{CallerAnswer, CallerRequest, KEY_HEADER};

/// A request as it goes to another entry, with the time that its caller still waits.
pub fn pack(request: &CallerRequest, left: Duration) -> ForwardedRequest {
    ForwardedRequest {
        service: request.service.clone(),
        class: request.class,
        team: request.team.clone(),
        method: request.method.to_string(),
        path: request.path.clone(),
        headers: pack_headers(&request.headers),
        body: request.body.clone(),
        key: request.headers.get(KEY_HEADER).and_then(|key| key.to_str().ok()).map(str::to_owned),
        left_ms: millis(left),
    }
}

/// A request from another entry; none if a part of it can't be read.
pub fn unpack(forwarded: ForwardedRequest) -> Option<CallerRequest> {
    let key = match &forwarded.key {
        Some(text) => Some(RequestKey::parse(text)?),
        None => None,
    };
    Some(CallerRequest {
        service: forwarded.service,
        class: forwarded.class,
        team: forwarded.team,
        method: forwarded.method.parse().ok()?,
        path: forwarded.path,
        headers: unpack_headers(&forwarded.headers),
        body: forwarded.body,
        key,
        limit: Some(Duration::from_millis(forwarded.left_ms)),
        arrived: Instant::now(),
        forwarded: true,
    })
}

/// An answer as it goes back.
pub fn pack_answer(answer: &CallerAnswer) -> ForwardedAnswer {
    ForwardedAnswer {
        code: answer.code.map(ResultCode::number),
        status: answer.status.as_u16(),
        headers: pack_headers(&answer.headers),
        body: answer.body.clone(),
    }
}

/// An answer that came back. One that can't be read leaves the outcome unknown.
pub fn unpack_answer(answer: ForwardedAnswer) -> CallerAnswer {
    let code = ResultCode::ALL.iter().copied().find(|code| Some(code.number()) == answer.code);
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        return CallerAnswer::coded(ResultCode::Unknown, None);
    };
    CallerAnswer { code, status, headers: unpack_headers(&answer.headers), body: answer.body }
}

fn pack_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|(n, value)| (n.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

fn unpack_headers(packed: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in packed {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_bytes(value))
        {
            headers.append(name, value);
        }
    }
    headers
}
