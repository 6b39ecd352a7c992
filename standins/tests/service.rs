//! Service adapter against the stand-in service.

use std::time::Duration;

use bytes::Bytes;
use foxtailhill::engine::{HttpService, ServiceClient, ServiceRequest, ServiceTimeouts};
use foxtailhill::{Category, RunVerdict};
use foxtailhill_standins::service::ServiceFault;
use foxtailhill_standins::{ServiceOptions, ServiceStandin};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

fn request(key: &'static str) -> ServiceRequest {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static(key));
    headers.insert("content-length", HeaderValue::from_static("9999"));
    ServiceRequest {
        id: "r1".into(),
        method: Method::POST,
        path: "/seats?row=1".into(),
        headers,
        body: Bytes::from_static(b"{\"seat\":4}"),
    }
}

/// Guards against lost bodies, a content length that belongs to another body and lost headers.
#[tokio::test]
async fn call_arrives_unchanged() {
    let service = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    let client = HttpService::default();
    let answer = client.call(service.address(), request("k1")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.headers.get("content-length").is_none());
    let received = service.received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].path, "/seats?row=1");
    assert_eq!(received[0].header("x-request-id"), Some("r1"));
    assert_eq!(&received[0].body[..], b"{\"seat\":4}");
    assert!(received[0].contains("k1"));
    assert_eq!(service.count("k1"), 1);
    service.shutdown().await;
}

/// Guards against verdicts that contradict what the service executed.
#[tokio::test]
async fn verdicts_agree_with_the_executions() {
    let cases = [
        (ServiceFault::CrashBeforeEffect, 0),
        (ServiceFault::CrashAfterEffect, 1),
        (ServiceFault::LoseAnswer, 1),
        (ServiceFault::Truncate, 1),
    ];
    for (fault, executions) in cases {
        let service = ServiceStandin::open(ServiceOptions::default())
            .await
            .unwrap();
        let client = HttpService::default();
        service.push_fault(fault);
        let error = client.call(service.address(), request("k1")).await;
        let verdict = error.unwrap_err().verdict();
        assert_eq!(verdict, RunVerdict::MayHaveRun, "{fault:?}");
        assert_eq!(service.count("k1"), executions, "{fault:?}");
        service.shutdown().await;
    }
}

/// Guards against repeating a request on a reused connection that the service has closed.
#[tokio::test]
async fn a_call_is_never_repeated() {
    let service = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    let client = HttpService::default();
    for round in 1..=20 {
        client.call(service.address(), request("ok")).await.unwrap();
        service.push_fault(ServiceFault::LoseAnswer);
        let error = client.call(service.address(), request("lost")).await;
        assert_eq!(error.unwrap_err().verdict(), RunVerdict::MayHaveRun);
        assert_eq!(service.count("lost"), round);
    }
    service.shutdown().await;
}

/// Guards against verdict `may_have_run` for calls of which no byte was sent, and against paths that change the
/// target server.
#[tokio::test]
async fn unsent_calls_have_verdict_not_run() {
    let service = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    let client = HttpService::default();
    let address = service.address();
    let mut elsewhere = request("k1");
    elsewhere.path = "@127.0.0.1/seats".into();
    let error = client.call(address, elsewhere).await.unwrap_err();
    assert_eq!(error.category(), Category::Invalid);
    assert_eq!(error.verdict(), RunVerdict::NotRun);
    assert!(service.received().is_empty());
    service.shutdown().await;
    let error = client.call(address, request("k1")).await.unwrap_err();
    assert_eq!(error.category(), Category::Unavailable);
    assert_eq!(error.verdict(), RunVerdict::NotRun);
}

/// Guards against waiting without limit, and against answers larger than the limit.
#[tokio::test]
async fn slow_and_large_answers_are_bounded() {
    let service = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    service.set_delay(Duration::from_secs(60));
    let client = HttpService::open(ServiceTimeouts {
        answer: Duration::from_millis(50),
        ..ServiceTimeouts::default()
    });
    let error = client.call(service.address(), request("slow")).await;
    let error = error.unwrap_err();
    assert_eq!(error.category(), Category::Timeout);
    assert_eq!(error.verdict(), RunVerdict::MayHaveRun);
    service.set_delay(Duration::ZERO);
    let client = HttpService::open(ServiceTimeouts {
        max_answer_bytes: 8,
        ..ServiceTimeouts::default()
    });
    let error = client.call(service.address(), request("large")).await;
    assert_eq!(error.unwrap_err().verdict(), RunVerdict::MayHaveRun);
    service.shutdown().await;
}
