/** A whole answer, made from one or more attempts. */
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
}

export interface AnswerToken {
    readonly type: "token";
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
     * Tokens at consecutive positions and then one end, to one observer. Fails with a PomelostallError whose outcome
     * tells what became of the request.
     */
    readonly events: Stream<AnswerEvent>;
    /** Slows the engine while the caller does not read. */
    pause(): void;
    resume(): void;
    /** The caller went away: cancels all work. */
    cancel(): void;
}

/** Starts answers and carries them through failures of backend servers. */
export interface AnswerService {
    start(request: AnswerRequest): Answer;
}
