//! Users' questions, answered from the view.
//!
//! No node may give an older answer than another gave before, so the view must
//! be as new as the moment of the question. One small read tells how far the
//! records have come; once the watch has brought the view there, all questions
//! that came before that read are answered from memory. Asked many times as
//! often, users cost the state service no more reads than before, and take
//! none from submissions, workers and fencing.

use super::*;
use std::collections::VecDeque;

/// Questions that wait at the same time; more are told to come back.
const MOST_WAITING: usize = 400;

/// Pause between two probes: what comes meanwhile shares one.
const PROBE_EVERY: Span = Span(60);

/// A question that could not be answered by then is told to come back: its
/// user would not wait much longer.
const PATIENCE: Span = Span(1500);

/// Without any answer of the state service for so long a question is told to come
/// back at once: watches alone bring several in that time, if it answers at all.
const STATE_SILENT: Span = Span(2500);

/// Nothing is ever kept under this key; reading it tells the revision.
const PROBE_KEY: &str = "t/q";

/// A request that asks for the state of a job.
#[derive(Debug, Clone)]
pub(super) struct Question {
    request: RequestId,
    job: JobRef,
    at: Time,
}

#[derive(Debug, Default)]
pub(super) struct Queries {
    /// Not covered by a probe yet.
    waiting: VecDeque<Question>,
    /// Answered once the view has reached the revision.
    held: Vec<(Revision, Question)>,
    probing: bool,
    next: Time,
}

impl Core {
    pub(super) fn ask_view(&mut self, request: RequestId, job: JobRef) {
        // A standstill of this node is nobody's silence.
        let heard = self.last_state_answer.map(|at| at.max(self.resumed));
        if self.loaded && heard.is_none_or(|at| self.now.since(at) > STATE_SILENT) {
            return self.reply(request, Reply::later("the state service does not answer"));
        }
        let queries = &mut self.queries;
        if !self.loaded || queries.waiting.len() + queries.held.len() >= MOST_WAITING {
            return self.reply(request, Reply::later("busy"));
        }
        queries.waiting.push_back(Question { request, job, at: self.now });
    }

    /// Sends a probe for what waits, and gives up what waited too long.
    pub(super) fn tend_queries(&mut self) {
        let now = self.now;
        while self.queries.waiting.front().is_some_and(|q| now.since(q.at) > PATIENCE) {
            if let Some(question) = self.queries.waiting.pop_front() {
                self.give_up(question);
            }
        }
        if self.queries.held.iter().any(|(_, q)| now.since(q.at) > PATIENCE) {
            let held = std::mem::take(&mut self.queries.held);
            let (late, held): (Vec<_>, Vec<_>) = held.into_iter().partition(|(_, q)| now.since(q.at) > PATIENCE);
            self.queries.held = held;
            late.into_iter().for_each(|(_, question)| self.give_up(question));
        }
        let queries = &self.queries;
        if queries.waiting.is_empty() || queries.probing || now < queries.next || now < self.retry_state_at {
            return;
        }
        if self.reads.take(now, 1.0) {
            self.queries.probing = true;
            self.queries.next = now + PROBE_EVERY;
            let questions = self.queries.waiting.drain(..).collect();
            self.call_state(StateCall::Get { key: PROBE_KEY.into() }, Pending::Probe(questions));
        }
    }

    fn give_up(&mut self, question: Question) {
        self.reply(question.request, Reply::later("the state service does not answer"));
    }

    pub(super) fn probed(&mut self, questions: Vec<Question>, answer: StateAnswer) {
        self.queries.probing = false;
        let StateAnswer::Missing(revision) = answer else {
            return questions.into_iter().for_each(|q| self.give_up(q));
        };
        self.queries.held.extend(questions.into_iter().map(|q| (revision, q)));
        if self.view.revision < revision {
            // The watch need not pause before it brings what is awaited.
            self.next_watch = self.now;
            self.tick_membership();
        }
        self.answer_held();
    }

    /// Answers what the view has caught up with.
    pub(super) fn answer_held(&mut self) {
        if self.queries.held.is_empty() {
            return;
        }
        let revision = self.view.revision;
        let (ready, held) = std::mem::take(&mut self.queries.held).into_iter().partition(|(at, _)| *at <= revision);
        self.queries.held = held;
        let ready: Vec<(Revision, Question)> = ready;
        for (_, question) in ready {
            self.answer_from_view(question.request, &question.job);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Users of a controller that is cut off waited 1.5 s each time to be told to come back.
    #[test]
    fn without_the_state_service_questions_are_answered_at_once() {
        let mut core = super::super::tests::core();
        (core.loaded, core.last_state_answer) = (true, Some(Time(1000)));
        let mut told = |at: u64| {
            let outputs = core.handle(Time(at), 0, Input::User(RequestId(at), Ask::Query(JobRef::new("wk-000001"))));
            outputs.iter().any(|o| {
                matches!(o, Output::Reply(RequestId(id), Reply::Problem { status: 503, retry_after_s: Some(_), .. })
                    if *id == at)
            })
        };
        for at in (1100..6000).step_by(300) {
            assert_eq!(told(at), at > 3500, "{at}");
        }
    }
}
