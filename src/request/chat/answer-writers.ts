/** Writes an answer to a caller, as server-sent events or whole, with back pressure to the engine. */
import type { ServerResponse } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import { AnswerFailedError, Outcome } from "../../errors/index.js";
import type { Answer, AnswerEnd, AnswerEvent } from "../answer/types.js";
import { errorBody, sendJson, toPomelostallError } from "../http/error-body.js";
import { ChunkFormatter, type CompletionHeader, formatCompletion } from "./completion-format.js";

/** Sends an answer; resolves with its end, or rejects if it failed before a byte was sent. */
export interface AnswerWriter {
    write(answer: Answer, response: ServerResponse): Promise<AnswerEnd | undefined>;
}

/** Collects the whole answer and sends it as one JSON body. */
export class WholeAnswerWriter implements AnswerWriter {
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

/** Sends each token as it comes. A failure after the first byte becomes an error event, never a silent end. */
export class StreamedAnswerWriter implements AnswerWriter {
    private readonly formatter: ChunkFormatter;
    private started = false;
    private lastTokenAt: number | undefined;
    private largestGap = 0;

    constructor(
        private readonly header: CompletionHeader,
        private readonly includeUsage: boolean,
        private readonly metrics: Metrics,
        private readonly startedAt: number,
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
            if (!this.started) {
                throw error;
            }
            const body = errorBody(toPomelostallError(error), this.header.requestId);
            response.end(`data: ${JSON.stringify(body)}\n\n`);
            throw error;
        }
        response.end();
        return end;
    }

    private send(event: AnswerEvent, answer: Answer, response: ServerResponse): void {
        const opening = this.started ? "" : this.begin(response);
        this.recordToken(event);
        const text = event.type === "token"
            ? this.formatter.token(event.text)
            : this.formatter.end(event, this.includeUsage);
        if (!response.write(opening + text)) {
            answer.pause();
        }
    }

    private begin(response: ServerResponse): string {
        this.started = true;
        response.statusCode = 200;
        response.setHeader("Content-Type", "text/event-stream");
        response.setHeader("Cache-Control", "no-store");
        return this.formatter.open();
    }

    /** Keeps the largest gap of the answer; a metric for each token would cost more than sending the token. */
    private recordToken(event: AnswerEvent): void {
        const now = monotonicNow();
        if (event.type === "end") {
            this.metrics.timing("pomelostall.chat.largest_token_gap", this.largestGap);
            return;
        }
        if (this.lastTokenAt === undefined) {
            this.metrics.timing("pomelostall.chat.first_token", now - this.startedAt);
        }
        else {
            this.largestGap = Math.max(this.largestGap, now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
    }
}

function requireEnd(end: AnswerEnd | undefined): AnswerEnd {
    if (end === undefined) {
        throw new AnswerFailedError("The answer stopped before its end.", Outcome.failed);
    }
    return end;
}
