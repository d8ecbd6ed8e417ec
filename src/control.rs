//! Control loops as supervised actors.
//!
//! Each loop does one step at a time and says how long to wait. A loop that panics is started anew
//! by the supervisor from its factory; the request path does not pass through any of them.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, SupervisionEvent};
use slog::{Logger, error, warn};
use tokio::time::sleep;

/// Wait before a loop that failed is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// A loop under the supervisor.
pub trait ControlLoop: Send + Sync + 'static {
    /// Its name in the logs.
    const NAME: &'static str;

    /// One step; returns the wait before the next.
    fn step(&mut self) -> impl Future<Output = Duration> + Send;
}

/// The only message of a loop: do the next step.
#[derive(Debug)]
pub struct NextStep;

/// Runs a control loop as an actor.
struct LoopActor<L, F> {
    factory: Arc<F>,
    marker: std::marker::PhantomData<fn() -> L>,
}

impl<L, F> Actor for LoopActor<L, F>
where
    L: ControlLoop,
    F: Fn() -> L + Send + Sync + 'static,
{
    type Msg = NextStep;
    type State = L;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<NextStep>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(NextStep)?;
        Ok((self.factory)())
    }

    async fn handle(
        &self,
        myself: ActorRef<NextStep>,
        _: NextStep,
        state: &mut L,
    ) -> Result<(), ActorProcessingErr> {
        let wait = state.step().await;
        if wait.is_zero() {
            myself.cast(NextStep)?;
        } else {
            myself.send_after(wait, || NextStep);
        }
        Ok(())
    }
}

type SpawnFuture =
    std::pin::Pin<Box<dyn Future<Output = Result<ractor::ActorCell, ractor::SpawnErr>> + Send>>;
type LoopSpawner = Box<dyn Fn(ractor::ActorCell) -> SpawnFuture + Send + Sync>;

/// A loop that the supervisor starts and restarts.
pub struct SupervisedLoop {
    name: &'static str,
    spawn: LoopSpawner,
}

impl SupervisedLoop {
    /// A loop made by `factory` at each start.
    pub fn new<L, F>(factory: F) -> Self
    where
        L: ControlLoop,
        F: Fn() -> L + Send + Sync + 'static,
    {
        let factory = Arc::new(factory);
        let spawn = move |supervisor: ractor::ActorCell| -> SpawnFuture {
            let actor = LoopActor { factory: factory.clone(), marker: std::marker::PhantomData };
            Box::pin(async move {
                // Several entries may share a process, so no actor gets a registered name.
                let (actor, _) = Actor::spawn_linked(None, actor, (), supervisor).await?;
                Ok(actor.get_cell())
            })
        };
        SupervisedLoop { name: L::NAME, spawn: Box::new(spawn) }
    }
}

/// What the supervisor is told.
#[derive(Debug)]
pub enum SupervisorCall {
    /// Start the loop of this index again.
    Restart(usize),
    /// Stop every loop.
    StopAll,
}

/// The root of the tree.
pub struct LoopSupervisor {
    logger: Logger,
}

/// The loops and their running actors.
pub struct SupervisorState {
    loops: Vec<SupervisedLoop>,
    running: Vec<Option<ractor::ActorCell>>,
}

impl LoopSupervisor {
    /// Starts the loops under a new supervisor.
    pub async fn spawn(
        logger: Logger,
        loops: Vec<SupervisedLoop>,
    ) -> Result<ActorRef<SupervisorCall>, ractor::SpawnErr> {
        let (actor, _) = Actor::spawn(None, LoopSupervisor { logger }, loops).await?;
        Ok(actor)
    }

    async fn start(
        &self,
        myself: &ActorRef<SupervisorCall>,
        state: &mut SupervisorState,
        index: usize,
    ) {
        let started = (state.loops[index].spawn)(myself.get_cell()).await;
        match started {
            Ok(cell) => state.running[index] = Some(cell),
            Err(failure) => {
                error!(self.logger, "a loop can't be started";
                    "loop" => state.loops[index].name, "error" => %failure);
                myself.send_after(RESTART_PAUSE, move || SupervisorCall::Restart(index));
            }
        }
    }
}

impl Actor for LoopSupervisor {
    type Msg = SupervisorCall;
    type State = SupervisorState;
    type Arguments = Vec<SupervisedLoop>;

    async fn pre_start(
        &self,
        myself: ActorRef<SupervisorCall>,
        loops: Vec<SupervisedLoop>,
    ) -> Result<SupervisorState, ActorProcessingErr> {
        let running = loops.iter().map(|_| None).collect();
        let mut state = SupervisorState { loops, running };
        for index in 0..state.loops.len() {
            self.start(&myself, &mut state, index).await;
        }
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<SupervisorCall>,
        call: SupervisorCall,
        state: &mut SupervisorState,
    ) -> Result<(), ActorProcessingErr> {
        match call {
            SupervisorCall::Restart(index) => self.start(&myself, state, index).await,
            SupervisorCall::StopAll => {
                for cell in state.running.iter_mut().filter_map(Option::take) {
                    cell.kill();
                }
                myself.stop(None);
            }
        }
        Ok(())
    }

    async fn handle_supervisor_evt(
        &self,
        myself: ActorRef<SupervisorCall>,
        event: SupervisionEvent,
        state: &mut SupervisorState,
    ) -> Result<(), ActorProcessingErr> {
        let (cell, cause) = match event {
            SupervisionEvent::ActorFailed(cell, failure) => (cell, failure.to_string()),
            SupervisionEvent::ActorTerminated(cell, _, reason) => {
                (cell, reason.unwrap_or_else(|| "stopped".to_owned()))
            }
            _ => return Ok(()),
        };
        let is_it = |running: &Option<ractor::ActorCell>| {
            running.as_ref().is_some_and(|running| running.get_id() == cell.get_id())
        };
        if let Some(index) = state.running.iter().position(is_it) {
            warn!(self.logger, "a loop ended and is started again";
                "loop" => state.loops[index].name, "cause" => cause);
            state.running[index] = None;
            sleep(RESTART_PAUSE).await;
            self.start(&myself, state, index).await;
        }
        Ok(())
    }
}
