/** Validates the body of a chat completion request. */
import { z } from "zod";
import type { ChatMessage } from "../../domain/engine-protocol.js";
import { BadRequestError } from "../../errors/index.js";

const maximumMessages = 2048;

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

const messageSchema = z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(textPartSchema)]),
});

const chatSchema = z.object({
    model: z.string().min(1),
    messages: z.array(messageSchema).min(1).max(maximumMessages),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
    max_tokens: z.int().min(1).nullish(),
    max_completion_tokens: z.int().min(1).nullish(),
    n: z.literal(1, "only 1 choice is supported").nullish(),
});

export interface ChatRequest {
    /** Name of the route, which the caller sends as `model`. */
    readonly route: string;
    readonly messages: readonly ChatMessage[];
    readonly stream: boolean;
    /** Whether a streamed answer ends with a chunk that holds its token usage. */
    readonly includeUsage: boolean;
    /** `max_completion_tokens`, or else `max_tokens`; undefined if neither is set. */
    readonly maximumTokens: number | undefined;
}

/** Validates a parsed JSON body. Throws a BadRequestError that lists every invalid field. */
export function parseChatRequest(body: unknown): ChatRequest {
    const result = chatSchema.safeParse(body);
    if (!result.success) {
        const invalidFields = result.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
        throw new BadRequestError(`Invalid chat request: ${invalidFields.join("; ")}.`);
    }
    const { data } = result;
    return {
        route: data.model,
        messages: data.messages.map(message => ({ role: message.role, content: flattenContent(message.content) })),
        stream: data.stream === true,
        includeUsage: data.stream_options?.include_usage === true,
        maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
    };
}

function flattenContent(content: string | readonly { readonly text: string; }[]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}
