//! Counters that operators read at `GET /metrics`, in the text format of OpenMetrics.
//!
//! Label values are classes of the settings and fixed strings of this program, so that their number is limited.

use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

/// Labels of requests that have ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The class, as in the settings.
    pub class: String,
    /// `served`, `refused`, `failed`, `timed_out`, `turned_away` or `client_left`.
    pub outcome: &'static str,
}

/// Label for the reason of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// A fixed string.
    pub reason: &'static str,
}

/// All counters of the process.
pub struct Metrics {
    registry: Registry,
    /// Requests that have ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts that were sent.
    pub attempts: Counter,
    /// Attempts after a request's first, by the outcome of the previous attempt.
    pub retries: Family<ReasonLabels, Counter>,
    /// Attempts that did not serve their request, by outcome.
    pub failed_attempts: Family<ReasonLabels, Counter>,
    /// Connections that have ended, by reason.
    pub connections_ended: Family<ReasonLabels, Counter>,
    /// Orders to load copies of functions.
    pub load_orders: Counter,
    /// Steps of the machine's wall clock.
    pub clock_steps: Counter,
    /// The sum of these steps, in seconds.
    pub clock_stepped: Gauge<f64, std::sync::atomic::AtomicU64>,
    /// Times that the process was stopped or had no processor.
    pub hold_ups: Counter,
    /// Requests that have not been answered yet.
    pub open_requests: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("wheellink"),
            requests: Family::default(),
            attempts: Counter::default(),
            retries: Family::default(),
            failed_attempts: Family::default(),
            connections_ended: Family::default(),
            load_orders: Counter::default(),
            clock_steps: Counter::default(),
            clock_stepped: Gauge::default(),
            hold_ups: Counter::default(),
            open_requests: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that have ended, by class and outcome",
            self.requests.clone(),
        );
        registry.register("attempts", "Attempts sent to script hosts", self.attempts.clone());
        registry.register(
            "retries",
            "Attempts after the first, by the end of the one before",
            self.retries.clone(),
        );
        registry.register(
            "failed_attempts",
            "Attempts that did not serve, by outcome",
            self.failed_attempts.clone(),
        );
        registry.register(
            "connections_ended",
            "Connections that ended, by reason",
            self.connections_ended.clone(),
        );
        registry.register("load_orders", "Orders to load copies", self.load_orders.clone());
        registry.register("clock_steps", "Steps of the machine's wall clock", self.clock_steps.clone());
        let help = "Sum of the steps of the machine's wall clock";
        registry.register_with_unit("clock_stepped", help, Unit::Seconds, self.clock_stepped.clone());
        registry.register(
            "hold_ups",
            "Times that the process was stopped or had no processor",
            self.hold_ups.clone(),
        );
        registry.register("open_requests", "Requests that are owed an answer", self.open_requests.clone());
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut page = String::new();
        text::encode(&mut page, &self.registry).expect("writing to a string cannot fail");
        page
    }
}
