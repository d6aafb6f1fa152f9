//! Users' queries for the state of a job, answered from the cache.
//!
//! No controller may give an older answer than another gave before, so the cache must be as new as
//! the moment of the query. One small read, the probe, tells the store's current revision; once the
//! watch has brought the cache there, all queries that came before the probe are answered from
//! memory. So the number of requests to the store does not grow with that of queries.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, Refusal};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::{JobId, Millis, MonotonicTime, RequestId, Revision};
use std::collections::VecDeque;

/// The most queries that wait at the same time; others are refused.
const MAX_WAITING: usize = 400;

/// Pause between two probes: queries that come meanwhile share one.
const PROBE_INTERVAL: Millis = Millis(60);

/// A query that waited this long is refused: its user would not wait much longer.
const QUERY_TIMEOUT: Millis = Millis(1500);

/// If the store has answered nothing for this long, queries are refused at once: watches alone bring
/// several answers in that time.
const STORE_SILENCE: Millis = Millis(2500);

/// A key that never exists: reading it tells the revision.
const PROBE_KEY: &str = "t/q";

/// A user's query for the state of a job.
#[derive(Debug, Clone)]
pub(crate) struct StatusQuery {
    request: RequestId,
    job: JobId,
    received_at: MonotonicTime,
}

impl StatusQuery {
    fn is_expired(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) > QUERY_TIMEOUT
    }
}

/// A query that is answered once the cache has reached a revision.
#[derive(Debug)]
struct ProbedQuery {
    revision: Revision,
    query: StatusQuery,
}

/// Queries that wait, and the probe for them.
#[derive(Debug, Default)]
pub(crate) struct StatusQueries {
    /// Queries that the next probe is sent for, oldest first.
    unprobed: VecDeque<StatusQuery>,
    probed: Vec<ProbedQuery>,
    probe_in_flight: bool,
    next_probe: MonotonicTime,
}

impl StatusQueries {
    fn is_full(&self) -> bool {
        self.unprobed.len() + self.probed.len() >= MAX_WAITING
    }

    fn add(&mut self, query: StatusQuery) {
        self.unprobed.push_back(query);
    }

    /// Removes the queries that have waited too long.
    fn take_expired(&mut self, now: MonotonicTime) -> Vec<StatusQuery> {
        let expired_count = self.unprobed.iter().take_while(|query| query.is_expired(now)).count();
        let mut expired: Vec<_> = self.unprobed.drain(..expired_count).collect();
        expired.extend(self.take_probed(|probed| probed.query.is_expired(now)));
        expired
    }

    /// Removes the queries that a cache of this revision can answer.
    fn take_answerable(&mut self, revision: Revision) -> Vec<StatusQuery> {
        self.take_probed(|probed| probed.revision <= revision)
    }

    fn take_probed(&mut self, chosen: impl Fn(&ProbedQuery) -> bool) -> Vec<StatusQuery> {
        // Called for every input: without a match nothing is moved.
        if !self.probed.iter().any(&chosen) {
            return vec![];
        }
        let (taken, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.probed).into_iter().partition(chosen);
        self.probed = left;
        taken.into_iter().map(|probed| probed.query).collect()
    }

    fn is_probe_due(&self, now: MonotonicTime) -> bool {
        !self.unprobed.is_empty() && !self.probe_in_flight && now >= self.next_probe
    }

    /// Notes that a probe is sent, and returns the queries that it is sent for.
    fn start_probe(&mut self, now: MonotonicTime) -> Vec<StatusQuery> {
        self.probe_in_flight = true;
        self.next_probe = now + PROBE_INTERVAL;
        self.unprobed.drain(..).collect()
    }

    fn probe_ended(&mut self) {
        self.probe_in_flight = false;
    }

    fn hold_until(&mut self, revision: Revision, queries: Vec<StatusQuery>) {
        self.probed.extend(queries.into_iter().map(|query| ProbedQuery { revision, query }));
    }
}

impl Core {
    /// Answers a user's query: at once if the job has ended, which cannot change.
    pub(crate) fn query(&mut self, request: RequestId, job: JobId) {
        if self.final_state(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        self.query_status(request, job);
    }

    /// Answers with the state of a job once the cache is as new as this moment.
    pub(crate) fn query_status(&mut self, request: RequestId, job: JobId) {
        if self.store.is_loaded() && self.is_store_silent() {
            return self.refuse(request, Refusal::StoreUnavailable);
        }
        if !self.store.is_loaded() || self.status_queries.is_full() {
            return self.refuse(request, Refusal::Busy);
        }
        self.status_queries.add(StatusQuery { request, job, received_at: self.now });
    }

    /// True if the store has not answered for long, not counting the time that this process was
    /// suspended.
    fn is_store_silent(&self) -> bool {
        let last_answer = self.store.last_response().map(|at| at.max(self.resumed_at));
        last_answer.is_none_or(|at| self.now.since(at) > STORE_SILENCE)
    }

    /// Refuses queries that have waited too long and sends a probe for the others. Called after each
    /// input.
    pub(crate) fn process_status_queries(&mut self) {
        let expired = self.status_queries.take_expired(self.now);
        self.refuse_queries(expired);
        if !self.status_queries.is_probe_due(self.now) || !self.store.may_send(self.now) {
            return;
        }
        if self.store.try_charge_requests(self.now, 1.0) {
            let queries = self.status_queries.start_probe(self.now);
            self.call_store(StoreRequest::Get { key: PROBE_KEY.into() }, PendingRequest::RevisionProbe(queries));
        }
    }

    /// Holds the queries that a probe was sent for until the cache has reached its revision.
    pub(crate) fn probe_answered(&mut self, queries: Vec<StatusQuery>, answer: StoreResponse) {
        self.status_queries.probe_ended();
        let StoreResponse::Missing(revision) = answer else { return self.refuse_queries(queries) };
        self.status_queries.hold_until(revision, queries);
        if self.cache.revision < revision {
            // Queries wait for what the next watch brings.
            self.store.request_watch_now(self.now);
            self.tick_membership();
        }
        self.answer_ready_queries();
    }

    /// Answers the queries that the cache has become new enough for.
    pub(crate) fn answer_ready_queries(&mut self) {
        for query in self.status_queries.take_answerable(self.cache.revision) {
            self.answer_from_cache(query.request, &query.job);
        }
    }

    fn refuse_queries(&mut self, queries: Vec<StatusQuery>) {
        for query in queries {
            self.refuse(query.request, Refusal::StoreUnavailable);
        }
    }
}

#[cfg(test)]
mod tests;
