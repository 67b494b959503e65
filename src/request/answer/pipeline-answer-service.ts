/** Answers chat requests over pipelines of backend servers, and carries them through failures. */
import { createStream } from "../../common/streams.js";
import { InternalError } from "../../errors/index.js";
import { StageProgress } from "../../process/outlier-ejection/stage-progress.js";
import { AnswerLengths } from "./answer-lengths.js";
import { AnswerRun } from "./answer-run.js";
import type { AnswerDependencies } from "./dependencies.js";
import type { Answer, AnswerEvent, AnswerRequest, AnswerService } from "./types.js";

/** Work on an answer begins when its events are observed; they can be observed once. */
export class PipelineAnswerService implements AnswerService {
    private readonly progress: StageProgress;
    private readonly lengths = new AnswerLengths();

    constructor(private readonly dependencies: AnswerDependencies) {
        this.progress = dependencies.progress ?? new StageProgress();
    }

    start(request: AnswerRequest): Answer {
        let run: AnswerRun | undefined;
        let paused = false;
        let cancelled = false;
        const events = createStream<AnswerEvent>(emitter => {
            if (run !== undefined) {
                emitter.fail(new InternalError("An answer's events were observed twice."));
                return () => undefined;
            }
            const started = new AnswerRun(request, this.dependencies, this.progress, this.lengths, emitter);
            run = started;
            if (paused) {
                started.pause();
            }
            if (cancelled) {
                started.cancel();
            }
            else {
                started.start();
            }
            return () => started.cancel();
        });
        return {
            events,
            pause: () => {
                paused = true;
                run?.pause();
            },
            resume: () => {
                paused = false;
                run?.resume();
            },
            cancel: () => {
                cancelled = true;
                run?.cancel();
            },
        };
    }
}
