//! The pages at the metrics' address.

use crate::affinity_pages;
use crate::gossip::Fleet;
use crate::messages::Inputs;
use crate::observer::Observer;
use crate::snapshot::SnapshotHost;
use hyper::StatusCode;
use load_balancer_common::logging::Log;
use load_balancer_common::pages::{Ask, Page};
use std::rc::Rc;

/// What the pages are made from.
#[derive(Clone)]
pub struct Pages {
    /// What is counted.
    pub observer: Observer,
    /// The way to the engine.
    pub inputs: Inputs,
    /// The log.
    pub log: Rc<Log>,
    /// The membership, if any.
    pub fleet: Option<Fleet>,
    /// What is kept on disk, if anything.
    pub state: Option<SnapshotHost>,
}

impl Pages {
    /// The page that is asked for; none where there is none.
    pub async fn page(self, ask: Ask) -> Option<Page> {
        if let Some(host) = self.fleet.as_ref().and_then(Fleet::affinity)
            && let Some(page) = affinity_pages::page(host, &ask)
        {
            return Some(page);
        }
        match ask.path.as_str() {
            "/fleet" | "/fleet/servers" | "/metrics" if ask.posted.is_some() => {
                Page::refused(StatusCode::METHOD_NOT_ALLOWED, "method", "this is read")
            }
            "/fleet" => Page::json(StatusCode::OK, &self.fleet?.summary()),
            "/fleet/servers" => Page::compact(&self.fleet?.servers()),
            "/metrics" => {
                if let Some(fleet) = &self.fleet {
                    self.observer.fleet(&fleet.summary());
                }
                if let (Some(state), Some(figures)) = (&self.state, self.observer.figures()) {
                    state.count(&figures);
                }
                let summarize = self.inputs.summarize().await?;
                self.observer
                    .page(&summarize, self.log.dropped())
                    .map(Page::metrics)
            }
            _ => None,
        }
    }
}
