/** Interfaces of the answer service. One answer consists of one or more attempts. */
import type { Stream } from "most";
import type { Configuration, Route } from "../../domain/configuration.js";
import type { ChatMessage } from "../../domain/engine-protocol.js";
import type { ModelDescription } from "../../domain/model.js";

/** An admitted chat request. */
export interface AnswerRequest {
    readonly requestId: string;
    readonly configuration: Configuration;
    readonly route: Route;
    readonly model: ModelDescription;
    readonly messages: readonly ChatMessage[];
    readonly maximumTokens: number;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
    /** Aborted when the caller disconnects, which ends the answer's events with CallerGoneError. */
    readonly callerGone: AbortSignal;
}

export interface AnswerToken {
    readonly type: "token";
    /** Position in the whole answer, from 0. */
    readonly position: number;
    readonly text: string;
}

export interface AnswerEnd {
    readonly type: "end";
    readonly finishReason: "stop" | "length";
    readonly promptTokens: number;
    readonly completionTokens: number;
}

export type AnswerEvent = AnswerToken | AnswerEnd;

/** A running answer. */
export interface Answer {
    /**
     * Emits tokens at consecutive positions from 0 and then one end event. Supports a single observer. Fails with a
     * PomelostallError whose outcome says whether the request may have run.
     */
    readonly events: Stream<AnswerEvent>;
    /** Applies backpressure to the engine while the caller does not read; stall timeouts are suspended. */
    pause(): void;
    resume(): void;
}

/** Starts answers and recovers them after failures of backend servers. */
export interface AnswerService {
    start(request: AnswerRequest): Answer;
}
