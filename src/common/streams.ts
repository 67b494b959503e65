/** Creates `most` streams from callbacks. `most` 1.9 itself has no constructor for streams of pushed events. */
import { type Scheduler, type Sink, Stream } from "most";

/** Receives the events that a producer pushes into a stream. */
export interface Emitter<Value> {
    next(value: Value): void;
    complete(): void;
    fail(error: Error): void;
}

/**
 * Creates a cold stream: `startProducer` is called for each observer. It starts a producer and returns the function
 * that stops it.
 */
export function createStream<Value>(startProducer: (emitter: Emitter<Value>) => () => void): Stream<Value> {
    return new Stream<Value>({
        run(sink: Sink<Value>, scheduler: Scheduler) {
            const emitter: Emitter<Value> = {
                next: value => sink.event(scheduler.now(), value),
                complete: () => sink.end(scheduler.now()),
                fail: error => sink.error(scheduler.now(), error),
            };
            const stop = startProducer(emitter);
            return {
                dispose: stop,
            };
        },
    });
}

/** A hot stream: each published value goes to every current observer. */
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
