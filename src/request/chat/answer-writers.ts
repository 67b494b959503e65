/** Writers that send an answer to a caller as server-sent events, with backpressure to the engine, or as one JSON body. */
import type { ServerResponse } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import { AnswerFailedError, Outcome } from "../../errors/index.js";
import type { Answer, AnswerEnd, AnswerEvent } from "../answer/types.js";
import { formatErrorBody, sendJson, toPomelostallError } from "../http/json-responses.js";
import { ChunkFormatter, type CompletionHeader, formatCompletion } from "./completion-format.js";

/**
 * Sends an answer and resolves with its end event, which may be undefined if the caller has disconnected. Rejects if
 * the answer fails. If part of the response has been sent by then, the writer reports the failure in the stream first.
 */
export interface AnswerWriter {
    write(answer: Answer, response: ServerResponse): Promise<AnswerEnd | undefined>;
}

/** Buffers the whole answer and sends it as one JSON body. */
export class BufferedAnswerWriter implements AnswerWriter {
    constructor(private readonly header: CompletionHeader) {}

    async write(answer: Answer, response: ServerResponse): Promise<AnswerEnd | undefined> {
        const parts: string[] = [];
        let end: AnswerEnd | undefined;
        await answer.events.observe(event => {
            if (event.type === "token") {
                parts.push(event.text);
            }
            else {
                end = event;
            }
        });
        if (response.destroyed) {
            return end;
        }
        sendJson(response, 200, formatCompletion(this.header, parts.join(""), requireEnd(end)));
        return end;
    }
}

/**
 * Sends each token as it arrives, as server-sent events. A failure after the first byte is sent as an error event, so
 * that a truncated answer cannot be mistaken for a complete one.
 */
export class StreamedAnswerWriter implements AnswerWriter {
    private readonly formatter: ChunkFormatter;
    private streamStarted = false;
    private lastTokenAt: number | undefined;
    private largestTokenGapMilliseconds = 0;

    constructor(
        private readonly header: CompletionHeader,
        private readonly includeUsage: boolean,
        private readonly metrics: Metrics,
        private readonly requestStartedAt: number,
    ) {
        this.formatter = new ChunkFormatter(header);
    }

    async write(answer: Answer, response: ServerResponse): Promise<AnswerEnd | undefined> {
        let end: AnswerEnd | undefined;
        response.on("drain", () => answer.resume());
        try {
            await answer.events.observe(event => {
                end = event.type === "end" ? event : end;
                this.send(event, answer, response);
            });
            requireEnd(end);
        }
        catch (error) {
            if (!this.streamStarted) {
                throw error;
            }
            const body = formatErrorBody(toPomelostallError(error), this.header.requestId);
            response.end(`data: ${JSON.stringify(body)}\n\n`);
            throw error;
        }
        response.end();
        return end;
    }

    private send(event: AnswerEvent, answer: Answer, response: ServerResponse): void {
        const firstChunk = this.streamStarted ? "" : this.startEventStream(response);
        this.recordTimings(event);
        const text = event.type === "token"
            ? this.formatter.token(event.text)
            : this.formatter.end(event, this.includeUsage);
        if (!response.write(firstChunk + text)) {
            answer.pause();
        }
    }

    private startEventStream(response: ServerResponse): string {
        this.streamStarted = true;
        response.statusCode = 200;
        response.setHeader("Content-Type", "text/event-stream");
        response.setHeader("Cache-Control", "no-store");
        return this.formatter.roleChunk();
    }

    /**
     * Records the time to the first token and, at the end, the largest gap between tokens. No metric is recorded for each
     * token, since that would cost more than sending the token.
     */
    private recordTimings(event: AnswerEvent): void {
        const now = monotonicNow();
        if (event.type === "end") {
            this.metrics.timing("pomelostall.chat.largest_token_gap", this.largestTokenGapMilliseconds);
            return;
        }
        if (this.lastTokenAt === undefined) {
            this.metrics.timing("pomelostall.chat.first_token", now - this.requestStartedAt);
        }
        else {
            this.largestTokenGapMilliseconds = Math.max(this.largestTokenGapMilliseconds, now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
    }
}

function requireEnd(end: AnswerEnd | undefined): AnswerEnd {
    if (end === undefined) {
        throw new AnswerFailedError("The answer's event stream completed without an end event.", Outcome.failed);
    }
    return end;
}
