/** Formats chat completions as OpenAI-compatible JSON: one completion object, or chunks of an event stream. */
import type { AnswerEnd } from "../answer/types.js";

/** Fields that are the same in all chunks of one completion. */
export interface CompletionHeader {
    readonly requestId: string;
    /** Name of the route, which the caller sent as `model`. */
    readonly model: string;
    /** Unix time, in seconds since 1970. */
    readonly created: number;
}

/**
 * Formats the server-sent events of one streamed completion. The constant parts of a token's chunk are built once per
 * completion, since every token needs them.
 */
export class ChunkFormatter {
    private readonly roleChunkText: string;
    private readonly tokenPrefix: string;
    private readonly tokenSuffix: string;

    constructor(private readonly header: CompletionHeader) {
        const start = this.chunkStart();
        this.roleChunkText =
            `data: ${start}"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`;
        this.tokenPrefix = `data: ${start}"choices":[{"index":0,"delta":{"content":`;
        this.tokenSuffix = `},"finish_reason":null}]}\n\n`;
    }

    /** The first event, which carries the assistant role and no text. */
    roleChunk(): string {
        return this.roleChunkText;
    }

    token(text: string): string {
        return this.tokenPrefix + JSON.stringify(text) + this.tokenSuffix;
    }

    /** The final events: finish reason, token usage if requested, and `[DONE]`. */
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

/** Builds the response body of a completion that is not streamed. */
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
