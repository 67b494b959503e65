/** The published JSON forms of chat completions, whole and streamed. */
import type { AnswerEnd } from "../answer/types.js";

/** What stays the same in all parts of one completion. */
export interface CompletionHeader {
    readonly requestId: string;
    /** The route that the caller named. */
    readonly model: string;
    /** Seconds since 1970. */
    readonly created: number;
}

/** Writes the events of one streamed completion. The fixed parts are made once, since every token needs them. */
export class ChunkFormatter {
    private readonly opening: string;
    private readonly beforeText: string;
    private readonly afterText: string;

    constructor(private readonly header: CompletionHeader) {
        const start = this.chunkStart();
        this.opening =
            `data: ${start}"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`;
        this.beforeText = `data: ${start}"choices":[{"index":0,"delta":{"content":`;
        this.afterText = `},"finish_reason":null}]}\n\n`;
    }

    /** The first event, which names the role. */
    open(): string {
        return this.opening;
    }

    token(text: string): string {
        return this.beforeText + JSON.stringify(text) + this.afterText;
    }

    /** The closing events. */
    end(end: AnswerEnd, includeUsage: boolean): string {
        const finish =
            `data: ${this.chunkStart()}"choices":[{"index":0,"delta":{},"finish_reason":"${end.finishReason}"}]}\n\n`;
        const usage = includeUsage
            ? `data: ${this.chunkStart()}"choices":[],"usage":${JSON.stringify(formatUsage(end))}}\n\n`
            : "";
        return `${finish}${usage}data: [DONE]\n\n`;
    }

    private chunkStart(): string {
        const { requestId, created, model } = this.header;
        return `{"id":"chatcmpl-${requestId}","object":"chat.completion.chunk","created":${created},"model":${
            JSON.stringify(model)
        },`;
    }
}

/** A whole completion. */
export function formatCompletion(header: CompletionHeader, text: string, end: AnswerEnd): unknown {
    return {
        id: `chatcmpl-${header.requestId}`,
        object: "chat.completion",
        created: header.created,
        model: header.model,
        choices: [{
            index: 0,
            message: { role: "assistant", content: text, refusal: null },
            logprobs: null,
            finish_reason: end.finishReason,
        }],
        usage: formatUsage(end),
    };
}

function formatUsage(end: AnswerEnd): unknown {
    return {
        prompt_tokens: end.promptTokens,
        completion_tokens: end.completionTokens,
        total_tokens: end.promptTokens + end.completionTokens,
    };
}
