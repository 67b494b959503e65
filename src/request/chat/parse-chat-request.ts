/** The body of a chat completion request. */
import { z } from "zod";
import type { ChatMessage } from "../../domain/engine-protocol.js";
import { BadRequestError } from "../../errors/index.js";

const maximumMessages = 2048;

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const messageSchema = z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(textPart)]),
});

const chatSchema = z.object({
    model: z.string().min(1),
    messages: z.array(messageSchema).min(1).max(maximumMessages),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
    max_tokens: z.int().min(1).nullish(),
    max_completion_tokens: z.int().min(1).nullish(),
    n: z.literal(1, "only one choice is offered").nullish(),
});

/** A parsed chat request. */
export interface ChatRequest {
    /** What the caller named; the name of a route. */
    readonly route: string;
    readonly messages: readonly ChatMessage[];
    readonly stream: boolean;
    /** Whether a streamed answer ends with a chunk that counts its tokens. */
    readonly includeUsage: boolean;
    readonly maximumTokens: number | undefined;
}

/** Checks a parsed body. Throws BadRequestError that names every faulty field. */
export function parseChatRequest(body: unknown): ChatRequest {
    const result = chatSchema.safeParse(body);
    if (!result.success) {
        const faults = result.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
        throw new BadRequestError(`The chat request is not valid: ${faults.join("; ")}.`);
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
