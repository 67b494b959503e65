/** Bridges between callbacks and `most` streams. `most` 1.9 has no constructor for pushed events of its own. */
import { type Scheduler, type Sink, Stream } from "most";

/** Receives what a producer pushes. */
export interface Emitter<Value> {
    next(value: Value): void;
    complete(): void;
    fail(error: Error): void;
}

/**
 * A stream that runs the producer when it is observed. The producer returns the function that stops it.
 * Each observer starts the producer anew.
 */
export function createStream<Value>(produce: (emitter: Emitter<Value>) => () => void): Stream<Value> {
    return new Stream<Value>({
        run(sink: Sink<Value>, scheduler: Scheduler) {
            const emitter: Emitter<Value> = {
                next: value => sink.event(scheduler.now(), value),
                complete: () => sink.end(scheduler.now()),
                fail: error => sink.error(scheduler.now(), error),
            };
            const stop = produce(emitter);
            return {
                dispose: stop,
            };
        },
    });
}

/** Broadcasts values to any number of subscribers as one shared stream. */
export class Broadcast<Value> {
    private readonly emitters = new Set<Emitter<Value>>();
    readonly stream: Stream<Value> = createStream<Value>(emitter => {
        this.emitters.add(emitter);
        return () => this.emitters.delete(emitter);
    });

    publish(value: Value): void {
        for (const emitter of [...this.emitters]) {
            emitter.next(value);
        }
    }

    close(): void {
        for (const emitter of [...this.emitters]) {
            emitter.complete();
        }
        this.emitters.clear();
    }
}
