//! The HTTP pages at the metrics address.

use crate::affinity_pages;
use crate::gossip::Fleet;
use crate::messages::InputSender;
use crate::observer::Observer;
use crate::snapshot::SnapshotHost;
use hyper::StatusCode;
use load_balancer_common::logging::Log;
use load_balancer_common::pages::{Page, PageRequest};
use std::rc::Rc;

/// The sources of the pages.
#[derive(Clone)]
pub struct Pages {
    /// The metrics.
    pub observer: Observer,
    /// The engine.
    pub inputs: InputSender,
    /// The log.
    pub log: Rc<Log>,
    /// The gossip member, if there is one.
    pub fleet: Option<Fleet>,
    /// The stored state, if there is any.
    pub snapshot: Option<SnapshotHost>,
}

impl Pages {
    /// Renders the requested page; none if there is no such page.
    pub async fn render(self, request: PageRequest) -> Option<Page> {
        if let Some(host) = self.fleet.as_ref().and_then(Fleet::affinity)
            && let Some(page) = affinity_pages::page(host, &request)
        {
            return Some(page);
        }
        match request.path.as_str() {
            "/fleet" | "/fleet/servers" | "/metrics" if request.body.is_some() => {
                Page::error(StatusCode::METHOD_NOT_ALLOWED, "method", "this is read")
            }
            "/fleet" => Page::json(StatusCode::OK, &self.fleet?.summary()),
            "/fleet/servers" => Page::compact(&self.fleet?.servers()),
            "/metrics" => {
                if let Some(fleet) = &self.fleet {
                    self.observer.update_fleet(&fleet.summary());
                }
                if let (Some(state), Some(figures)) = (&self.snapshot, self.observer.figures()) {
                    state.update_metrics(&figures);
                }
                let engine = self.inputs.summarize().await?;
                self.observer
                    .metrics_text(&engine, self.log.dropped())
                    .map(Page::metrics)
            }
            _ => None,
        }
    }
}
