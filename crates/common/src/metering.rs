//! Metrics in Prometheus text form: the `[metrics]` section, what is counted, and the address where it is read.
//! Changes with how figures are kept and handed out; which figures there are is their owners' business.

use crate::config::Contradiction;
use crate::process;
use crate::units::Time;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, Label, Level, Metadata, Recorder, SharedString, Unit,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The `[metrics]` section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSection {
    /// Whether figures are kept and handed out at all.
    pub enabled: bool,
    /// Where they are read.
    pub address: SocketAddr,
    /// Readers that may be connected at once; further ones are closed.
    pub readers: usize,
    /// How long one reader may take, from connecting to the last byte of its answer.
    pub timeout: Time,
}

impl Default for MetricsSection {
    fn default() -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9464));
        Self { enabled: false, address, readers: 4, timeout: Time::ms(5000) }
    }
}

impl MetricsSection {
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// There is no room or no time for a reader.
    pub fn check(&self) -> Result<(), Contradiction> {
        if self.readers == 0 {
            return Err(Contradiction::new(
                "metrics.readers",
                "0 lets nobody read; set metrics.enabled = false",
            ));
        }
        if self.timeout.0.is_zero() {
            return Err(Contradiction::new("metrics.timeout", "0s leaves no time to answer"));
        }
        Ok(())
    }
}

/// Bounds of the histograms' buckets, in seconds: from a fast answer on one machine to the longest deadline that
/// the platform's settings know (4 s), each about twice the one before.
const BUCKETS: [f64; 13] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.0, 2.0, 4.0];
/// How often samples of histograms are taken out of their queue where nobody reads them, so that it stays short.
const UPKEEP: Duration = Duration::from_secs(5);
/// Pause after a failed accept: with no descriptor to be had, the next one would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// All figures of one process.
pub struct Figures {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

impl Default for Figures {
    fn default() -> Self {
        Self::new()
    }
}

impl Figures {
    /// None yet.
    pub fn new() -> Self {
        let builder = PrometheusBuilder::new();
        // Refused only without a bucket.
        let builder = match builder.set_buckets(&BUCKETS) {
            Ok(builder) => builder,
            Err(_) => PrometheusBuilder::new(),
        };
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Self { recorder, handle }
    }

    /// A count that only grows; its name ends with `_total`.
    pub fn counter(
        &self,
        name: &'static str,
        what: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Counter {
        self.recorder.describe_counter(KeyName::from(name), None, SharedString::from(what));
        self.recorder.register_counter(&key(name, labels), &METADATA)
    }

    /// A value that goes up and down.
    pub fn gauge(&self, name: &'static str, what: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        self.recorder.describe_gauge(KeyName::from(name), None, SharedString::from(what));
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// Times in seconds; its name ends with `_seconds`.
    pub fn seconds(
        &self,
        name: &'static str,
        what: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Histogram {
        self.recorder.describe_histogram(KeyName::from(name), Some(Unit::Seconds), SharedString::from(what));
        self.recorder.register_histogram(&key(name, labels), &METADATA)
    }

    /// All of them in Prometheus text form, version 0.0.4, with the process's own brought up to date.
    pub fn text(&self) -> String {
        let usage = process::usage();
        for (name, what, value) in [
            ("process_resident_memory_bytes", "Resident memory.", usage.resident.map(|v| v as f64)),
            ("process_open_fds", "Descriptors open.", usage.descriptors.map(|v| v as f64)),
            ("process_max_fds", "Descriptors that may be open.", usage.most_descriptors.map(|v| v as f64)),
            ("process_cpu_seconds", "Processor time used.", usage.processor),
        ] {
            if let Some(value) = value {
                self.gauge(name, what, &[]).set(value);
            }
        }
        self.handle.render()
    }

    /// Keeps the queues of the histograms short. Runs for good.
    pub async fn upkeep(self: Rc<Self>) {
        loop {
            sleep(UPKEEP).await;
            self.handle.run_upkeep();
        }
    }
}

const METADATA: Metadata<'static> = Metadata::new("linenproxy", Level::INFO, None);

fn key(name: &'static str, labels: &[(&'static str, &str)]) -> Key {
    let labels: Vec<_> = labels.iter().map(|(name, value)| Label::new(*name, (*value).to_owned())).collect();
    Key::from_parts(name, labels)
}

/// A page that is read at the address of the metrics.
pub struct Page {
    /// Its media type.
    pub media: &'static str,
    /// Its text.
    pub text: String,
}

impl Page {
    /// Metrics in Prometheus text form.
    pub fn metrics(text: String) -> Self {
        Self { media: "text/plain; version=0.0.4; charset=utf-8", text }
    }
}

/// What may change while pages are handed out.
#[derive(Clone)]
pub struct Bounds(Rc<Cell<(usize, Duration)>>);

impl Bounds {
    /// As the section has them.
    pub fn of(section: &MetricsSection) -> Self {
        let bounds = Self(Rc::default());
        bounds.set(section);
        bounds
    }

    /// Takes in others. Who is connected stays; new readers wait for fewer.
    pub fn set(&self, section: &MetricsSection) {
        self.0.set((section.readers, section.timeout.0));
    }
}

/// Hands out pages by their path until the process ends. A reader costs its connection at most: it is closed once
/// it is answered, or its time is up, and one beyond the bound at once. Runs inside a `LocalSet`.
pub async fn serve<F, P>(listener: TcpListener, bounds: Bounds, pages: P)
where
    P: Fn(String) -> F + Clone + 'static,
    F: Future<Output = Option<Page>> + 'static,
{
    let connected = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (most, time) = bounds.0.get();
        if connected.get() >= most {
            continue;
        }
        connected.set(connected.get() + 1);
        let (connected, pages) = (Rc::clone(&connected), pages.clone());
        spawn_local(async move {
            let service = service_fn(move |request| answer(request, pages.clone()));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).keep_alive(false);
            // What is wrong with a reader is its own concern.
            let _ = timeout(time, builder.serve_connection(TokioIo::new(stream), service)).await;
            connected.set(connected.get() - 1);
        });
    }
}

async fn answer<F, P>(request: Request<Incoming>, pages: P) -> Result<Response<Full<Bytes>>, Infallible>
where
    P: Fn(String) -> F,
    F: Future<Output = Option<Page>>,
{
    let mut response = Response::new(Full::default());
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    if request.method() != Method::GET {
        *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    } else if let Some(page) = pages(request.uri().path().to_owned()).await {
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(page.media));
        *response.body_mut() = Full::new(Bytes::from(page.text));
    } else {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;
    use tokio::task::LocalSet;

    #[test]
    fn figures_are_written_with_their_words_and_labels() {
        let figures = Figures::new();
        figures
            .counter("a_requests_total", "Requests.", &[("class", "x\"y"), ("outcome", "served")])
            .increment(3);
        let times = figures.seconds("a_duration_seconds", "Times.", &[]);
        times.record(0.15);
        times.record(3.0);
        figures.gauge("a_open", "Open.", &[]).set(2.0);
        let text = figures.text();
        for line in [
            "# TYPE a_requests_total counter",
            "a_requests_total{class=\"x\\\"y\",outcome=\"served\"} 3",
            "a_duration_seconds_bucket{le=\"0.1\"} 0",
            "a_duration_seconds_bucket{le=\"0.2\"} 1",
            "a_duration_seconds_bucket{le=\"+Inf\"} 2",
            "a_duration_seconds_count 2",
            "a_open 2",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} is not in\n{text}");
        }
        assert!(text.contains("process_resident_memory_bytes "));
        figures
            .counter("a_requests_total", "Requests.", &[("class", "x\"y"), ("outcome", "served")])
            .increment(1);
        assert!(figures.text().contains("outcome=\"served\"} 4"), "the same figure goes on");
    }

    #[test]
    fn contradictions_are_named() {
        let none = MetricsSection { readers: 0, ..MetricsSection::default() };
        assert_eq!(none.check().expect_err("no reader").key, "metrics.readers");
        let hurried = MetricsSection { timeout: Time::ms(0), ..MetricsSection::default() };
        assert_eq!(hurried.check().expect_err("no time").key, "metrics.timeout");
    }

    async fn read(at: SocketAddr, request: &str) -> String {
        let mut stream = TcpStream::connect(at).await.expect("it accepts");
        stream.write_all(request.as_bytes()).await.expect("it reads");
        let mut text = String::new();
        // A connection that is closed unread may end as a reset.
        let _ = stream.read_to_string(&mut text).await;
        text
    }

    #[tokio::test]
    async fn readers_that_say_nothing_hold_their_own_connection_and_no_other() {
        let local = LocalSet::new();
        local
            .run_until(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let at = listener.local_addr().expect("an address");
                let section =
                    MetricsSection { readers: 2, timeout: Time::ms(300), ..MetricsSection::default() };
                let bounds = Bounds::of(&section);
                let page =
                    |path: String| async move { (path == "/metrics").then(|| Page::metrics("a 1\n".into())) };
                spawn_local(serve(listener, bounds.clone(), page));
                let get = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
                let mut stuck = TcpStream::connect(at).await.expect("it accepts");
                assert!(read(at, get).await.ends_with("a 1\n"));
                assert!(read(at, "GET /else HTTP/1.1\r\nHost: a\r\n\r\n").await.starts_with("HTTP/1.1 404 "));
                assert!(
                    read(at, "PUT /metrics HTTP/1.1\r\nHost: a\r\n\r\n").await.starts_with("HTTP/1.1 405 ")
                );
                // Fewer than are connected: nobody new is let in until the stuck one's time is up.
                bounds.set(&MetricsSection { readers: 1, ..section });
                assert_eq!(read(at, get).await, "");
                assert_eq!(stuck.read(&mut [0; 1]).await.expect("an end"), 0);
                assert!(read(at, get).await.ends_with("a 1\n"));
            })
            .await;
    }
}
