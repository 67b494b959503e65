/** Answers chat requests over pipelines of backend servers and recovers from failures of attempts. */
import { createStream } from "../../common/streams.js";
import { InternalError } from "../../errors/index.js";
import { ServerProgressTracker } from "../../process/outlier-ejection/server-progress.js";
import { AnswerLengths } from "./answer-lengths.js";
import { AnswerRun } from "./answer-run.js";
import type { AnswerDependencies } from "./dependencies.js";
import type { Answer, AnswerEvent, AnswerRequest, AnswerService } from "./types.js";

/** An answer's first attempt starts when its events are first observed. A second observer gets an InternalError. */
export class PipelineAnswerService implements AnswerService {
    private readonly progress: ServerProgressTracker;
    private readonly lengths = new AnswerLengths();

    constructor(private readonly dependencies: AnswerDependencies) {
        this.progress = dependencies.progress ?? new ServerProgressTracker();
    }

    start(request: AnswerRequest): Answer {
        let run: AnswerRun | undefined;
        let paused = false;
        const events = createStream<AnswerEvent>(emitter => {
            if (run !== undefined) {
                emitter.fail(
                    new InternalError(
                        "An answer's events can be observed only once, but a second observer subscribed.",
                    ),
                );
                return () => undefined;
            }
            const newRun = new AnswerRun(request, this.dependencies, this.progress, this.lengths, emitter);
            run = newRun;
            if (paused) {
                newRun.pause();
            }
            newRun.start();
            return () => newRun.cancel();
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
        };
    }
}
