//! The pace of this instance's streams, by service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use rookferry_core::PaceTracker;
use rookferry_wire::ServiceId;

use crate::mutex::lock;

/// One tracker per service; the service's streams share it.
#[derive(Debug, Default)]
pub(crate) struct PaceTrackers {
    by_service: Mutex<HashMap<ServiceId, Arc<Mutex<PaceTracker>>>>,
}

impl PaceTrackers {
    /// The tracker of a service.
    pub(crate) fn of(&self, service: &ServiceId) -> Arc<Mutex<PaceTracker>> {
        let mut by_service = lock(&self.by_service);
        by_service.entry(service.clone()).or_default().clone()
    }
}
