//! The attempts of a request, up to the answer for its caller.

use {
    super::{
        answer::{Answer, Refusal},
        choose::{self, Choice, choose},
        context::Context,
        exchange::{self, End},
        line::{Line, NoLink},
        permit::{self, Permit, Permitted},
        request::Request,
    },
    crate::events::{self, About, Code},
    cowslip_decide::{
        names::Name,
        permits::Outcome,
        verdict::{Reason, Verdict},
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep_until, timeout_at},
    },
};

/// Part of the time left for which a request waits for an owner of its key.
const OWNER_WAIT: f64 = 0.4;
/// Longest wait for an owner of a key.
const LONGEST_WAIT: Duration = Duration::from_millis(1200);
/// Wait before the owner of a key that shed a request is asked again.
const SHED_WAIT: Duration = Duration::from_millis(120);
/// Wait before another connection to the owner of a key is tried.
const LINK_WAIT: Duration = Duration::from_millis(100);
/// Time after which callers come back where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);
/// Refused sends of one request after which its caller gets the refusal.
const MOST_REFUSED: u32 = 3;

/// What has become of a request so far.
#[derive(Debug, Default)]
struct Course {
    /// Targets that it was sent to.
    tried: Vec<Name>,
    /// Sends that may have run.
    run: u32,
    /// Sends that the target refused, or that did not leave.
    refused: u32,
    /// Since when it waits for an owner.
    waiting: Option<Instant>,
}

/// What follows the end of an attempt.
enum Next {
    Answer(Answer),
    /// Choose again, at this time.
    Again(Instant),
    /// Choose again when something has changed.
    Change(Duration),
}

/// Sends a request until it is answered or given up.
pub async fn deliver(context: Rc<Context>, request: Rc<Request>) -> Answer {
    context.count_request(&request.service);
    let mut course = Course::default();
    loop {
        if Instant::now() >= request.deadline {
            return given_up(&course, Reason::Deadline);
        }
        let next = match choose(&context, &request) {
            Choice::Refuse(wait) => return given_back(&course, wait),
            Choice::Wait(look) => Next::Change(look),
            Choice::Owner(line, target) => {
                course.waiting = None;
                to_owner(&context, &request, &mut course, line, &target).await
            }
            Choice::Any => to_any(&context, &request, &mut course).await,
        };
        match next {
            Next::Answer(answer) => return answer,
            Next::Again(at) => sleep_until(at).await,
            Next::Change(look) => {
                if let Some(answer) = wait(&context, &request, &mut course, look).await {
                    return answer;
                }
            }
        }
    }
}

/// Sends a request to the owner of its key, with a permit if there is who gives one.
async fn to_owner(
    context: &Rc<Context>,
    request: &Rc<Request>,
    course: &mut Course,
    line: Rc<Line>,
    target: &Name,
) -> Next {
    let permit = match permit::ask(context, request, Some(target), &[]).await {
        Permitted::Yes(permit, _) => Some(permit),
        Permitted::No(wait) => return Next::Answer(given_back(course, wait)),
        Permitted::Changed => return Next::Again(Instant::now()),
        Permitted::Alone => None,
    };
    let same = |choice| matches!(choice, Choice::Owner(_, owner) if owner == *target);
    if permit.is_some() && !same(choose(context, request)) {
        return Next::Again(Instant::now());
    }
    if permit.is_none()
        && let Err(wait) = choose::cold_share(context, request, target)
    {
        return Next::Answer(given_back(course, wait));
    }
    let end = attempt(context, request, line, target, permit).await;
    after(context, request, course, target, end)
}

/// Sends a request to a target of an undivided service.
async fn to_any(context: &Rc<Context>, request: &Rc<Request>, course: &mut Course) -> Next {
    let (line, target, permit) = match permit::ask(context, request, None, &course.tried).await {
        Permitted::Yes(permit, target) => match choose::line_to(context, &target) {
            Some(line) => (line, target, Some(permit)),
            None => {
                course.tried.push(target);
                return Next::Again(Instant::now());
            }
        },
        Permitted::No(wait) => return Next::Answer(given_back(course, wait)),
        Permitted::Changed => return Next::Again(Instant::now()),
        Permitted::Alone => match choose::alone(context, request, &course.tried) {
            Ok((line, target)) => (line, target, None),
            Err(wait) => return Next::Answer(given_back(course, wait)),
        },
    };
    let end = attempt(context, request, line, &target, permit).await;
    after(context, request, course, &target, end)
}

/// Returns the answer to a request that nobody can serve in time.
fn given_back(course: &Course, wait: Duration) -> Answer {
    match course.run {
        0 => refuse(Reason::Overload, wait),
        _ => given_up(course, Reason::Overload),
    }
}

/// Waits for a change; returns the refusal of a request that has waited long enough.
async fn wait(
    context: &Context,
    request: &Request,
    course: &mut Course,
    look: Duration,
) -> Option<Answer> {
    let now = Instant::now();
    let since = *course.waiting.get_or_insert(now);
    let left = request.deadline.saturating_duration_since(since);
    let end = since + left.mul_f64(OWNER_WAIT).min(LONGEST_WAIT);
    if now >= end {
        return Some(match course.run {
            0 => refuse(Reason::NoOwner, COME_BACK),
            _ => given_up(course, Reason::NoOwner),
        });
    }
    let changed = context.changed.notified();
    // A timeout only means that it is time to look again.
    let _ = timeout_at(end.min(now + look), changed).await;
    None
}

/// Sends a request once.
///
/// One that may not be repeated goes on at its target when its caller leaves.
async fn attempt(
    context: &Rc<Context>,
    request: &Rc<Request>,
    line: Rc<Line>,
    target: &Name,
    permit: Option<Permit>,
) -> End {
    let most = connections(context, request);
    let exchange = exchange::run(line.clone(), target.clone(), request.clone(), most);
    let run = async move {
        let end = exchange.await;
        if let Some(permit) = permit {
            permit.outcome.set(outcome(&end));
            permit.slowness.set(line.slowness());
        }
        end
    };
    if request.route.repeatable {
        return run.await;
    }
    let ended = spawn_local(run).await;
    ended.unwrap_or(End::Broken("attempt ended"))
}

/// Returns what the holder of the pool has to know of an end.
fn outcome(end: &End) -> Outcome {
    match end {
        End::Whole(_) => Outcome::Served,
        End::Unrun(signs) if signs.misdirected => Outcome::Unused,
        End::Unrun(_) => Outcome::Shed,
        End::Unsent(NoLink::Full) => Outcome::Unused,
        End::Unsent(NoLink::Failed) => Outcome::Unsent,
        End::Broken(_) | End::Late => Outcome::Broken,
    }
}

/// Returns how many connections this instance may have to one target of the service.
fn connections(context: &Context, request: &Request) -> u32 {
    let config = context.config.borrow();
    let service = config
        .as_ref()
        .and_then(|it| it.services.get(&request.service));
    let all = service.map_or(1, |it| it.connections.min(10_000) as u32);
    (all / context.instances.get().max(1)).max(2)
}

/// Decides what follows the end of an attempt.
fn after(
    context: &Context,
    request: &Request,
    course: &mut Course,
    target: &Name,
    end: End,
) -> Next {
    context.metrics.ended(&request.service, &end);
    let now = Instant::now();
    let told = |code, cause: &str| note(context, code, request, target, cause);
    match end {
        End::Whole(whole) => {
            unblock(context, request);
            course.run += 1;
            let failed = whole.status.is_server_error() && request.route.repeatable;
            match failed && again(context, request, course, target) {
                true => Next::Again(now),
                false => Next::Answer(Answer::Whole(whole)),
            }
        }
        End::Unrun(signs) if signs.misdirected && request.key.is_some() => {
            told(events::WRONG_OWNER, "owner moved");
            block(context, request);
            course.refused += 1;
            match course.refused <= 2 * MOST_REFUSED && context.may_repeat(&request.service) {
                true => Next::Change(LINK_WAIT),
                false => Next::Answer(end_unrun(course, Reason::NoOwner)),
            }
        }
        End::Unrun(_) => {
            told(events::TARGET_SHED, "refused");
            course.refused += 1;
            match course.refused <= MOST_REFUSED && context.may_repeat(&request.service) {
                true => elsewhere(request, course, target, SHED_WAIT),
                false => Next::Answer(end_unrun(course, Reason::Shed)),
            }
        }
        End::Unsent(cause) => {
            told(events::NO_CONNECTION, cause.text());
            course.refused += 1;
            match course.refused <= 2 * MOST_REFUSED {
                true => elsewhere(request, course, target, LINK_WAIT),
                false => Next::Answer(end_unrun(course, Reason::Broken)),
            }
        }
        End::Broken(cause) => {
            told(events::MAY_HAVE_RUN, cause);
            course.run += 1;
            match request.route.repeatable && again(context, request, course, target) {
                true => Next::Again(now),
                false => Next::Answer(Answer::Failed(Reason::Broken)),
            }
        }
        End::Late => {
            told(events::MAY_HAVE_RUN, "deadline passed");
            Next::Answer(Answer::TimedOut)
        }
    }
}

/// Tries another target at once, or the only one that owns the key after a wait.
fn elsewhere(request: &Request, course: &mut Course, target: &Name, wait: Duration) -> Next {
    let now = Instant::now();
    if request.key.is_some() {
        return Next::Again(now + wait);
    }
    course.tried.push(target.clone());
    Next::Again(now)
}

/// Lets requests for the same keys wait for another owner.
fn block(context: &Context, request: &Request) {
    let owners = context.owners.borrow();
    if let (Some(owners), Some(key)) = (owners.get(&request.service), request.key) {
        let mut blocks = context.blocks.borrow_mut();
        blocks.refused(&request.service, owners.table.piece(key), Instant::now());
    }
}

fn unblock(context: &Context, request: &Request) {
    let owners = context.owners.borrow();
    if let (Some(owners), Some(key)) = (owners.get(&request.service), request.key) {
        let mut blocks = context.blocks.borrow_mut();
        blocks.served(&request.service, owners.table.piece(key));
    }
}

/// Returns whether a repeatable request goes out once more, and notes where it was.
fn again(context: &Context, request: &Request, course: &mut Course, target: &Name) -> bool {
    if course.run >= request.route.attempts || !context.may_repeat(&request.service) {
        return false;
    }
    if request.key.is_none() {
        course.tried.push(target.clone());
    }
    note(context, events::RETRY, request, target, "repeatable");
    true
}

/// Returns the answer to a request whose last attempt did not run.
fn end_unrun(course: &Course, reason: Reason) -> Answer {
    match course.run {
        0 => refuse(reason, COME_BACK),
        _ => Answer::Failed(reason),
    }
}

/// Returns the answer to a request that is not sent any more.
fn given_up(course: &Course, reason: Reason) -> Answer {
    match course.run {
        0 => refuse(reason, COME_BACK),
        _ => Answer::TimedOut,
    }
}

fn refuse(reason: Reason, wait: Duration) -> Answer {
    Answer::Refused(Refusal {
        verdict: Verdict::NotRun,
        reason,
        wait,
    })
}

fn note(context: &Context, code: Code, request: &Request, target: &Name, cause: &str) {
    let detail = format!(
        "{cause}, service {}, {}, {} ms left",
        request.service,
        context.basis(&request.service),
        request
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis()
    );
    let about = About {
        request: request.id.to_str().ok().map(Name::from),
        key: request.key.map(|key| key.to_string().into()),
        target: Some(target.clone()),
        detail: Some(detail),
        ..About::default()
    };
    context.events.note(code, about);
}

impl NoLink {
    /// Returns the cause in words.
    fn text(self) -> &'static str {
        match self {
            Self::Full => "as many connections as the target may have",
            Self::Failed => "no connection",
        }
    }
}
