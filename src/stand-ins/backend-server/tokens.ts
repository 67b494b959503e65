/** Deterministic answers of stand-in engines; tests use them to verify that an answer is complete and correct. */
import type { ChatMessage } from "../../domain/engine-protocol.js";

const words = ["salt", "bale", "truck", "load", "grade", "depot", "paper", "route", "dock", "yard", "weigh", "gate"];
const lengthPattern = /\btokens=(\d+)\b/;
const minimumAnswerTokens = 12;
const answerTokenRange = 52;
const fnvPrime = 16_777_619;
const fnvOffsetBasis = 2_166_136_261;

/** The answer that an engine generates if nothing fails. */
export interface ExpectedAnswer {
    readonly tokens: readonly string[];
    readonly text: string;
    readonly finishReason: "stop" | "length";
}

/** FNV-1a hash over the UTF-16 code units of all roles and contents, each followed by 0xff as a separator. */
export function hashMessages(messages: readonly ChatMessage[]): number {
    let hash = fnvOffsetBasis;
    for (const message of messages) {
        for (const text of [message.role, message.content]) {
            for (let index = 0; index < text.length; index++) {
                hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
            }
            hash = Math.imul(hash ^ 0xff, fnvPrime);
        }
    }
    return hash >>> 0;
}

/** The answer token at a position, for messages with the given hash. */
export function tokenOfHash(hash: number, position: number): string {
    const mixedHash = Math.imul((hash ^ Math.imul(position + 1, 0x9e3779b1)) >>> 0, 0x85ebca6b) >>> 0;
    return ` ${words[mixedHash % words.length]}${(mixedHash >>> 8) % 1000}`;
}

/** The answer token at a position; the same at every engine. */
export function expectedToken(messages: readonly ChatMessage[], position: number): string {
    return tokenOfHash(hashMessages(messages), position);
}

/** Number of answer tokens: N if a message contains `tokens=N`, else derived from the hash; at most the maximum. */
export function expectedTokenCount(messages: readonly ChatMessage[], maximumTokens: number): number {
    const requestedCount = messages.map(message => lengthPattern.exec(message.content)?.[1]).find(match =>
        match !== undefined
    );
    const uncappedCount = requestedCount === undefined
        ? minimumAnswerTokens + (hashMessages(messages) % answerTokenRange)
        : Number(requestedCount);
    return Math.min(uncappedCount, maximumTokens);
}

/** The complete answer to these messages. */
export function expectedAnswer(messages: readonly ChatMessage[], maximumTokens: number): ExpectedAnswer {
    const count = expectedTokenCount(messages, maximumTokens);
    const hash = hashMessages(messages);
    const tokens = Array.from({ length: count }, (_unused, position) => tokenOfHash(hash, position));
    return { tokens, text: tokens.join(""), finishReason: finishReason(messages, maximumTokens) };
}

export function finishReason(messages: readonly ChatMessage[], maximumTokens: number): "stop" | "length" {
    return expectedTokenCount(messages, Number.MAX_SAFE_INTEGER) > maximumTokens ? "length" : "stop";
}
