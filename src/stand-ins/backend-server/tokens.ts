/** The deterministic answers of stand-in engines, so that tests can tell a whole answer, and whose it is. */
import type { ChatMessage } from "../../domain/engine-protocol.js";

const words = ["salt", "bale", "truck", "load", "grade", "depot", "paper", "route", "dock", "yard", "weigh", "gate"];
const lengthPattern = /\btokens=(\d+)\b/;
const shortestAnswer = 12;
const answerLengthSpread = 52;
const hashPrime = 16_777_619;
const hashOffset = 2_166_136_261;

/** The answer that an engine gives when nothing fails. */
export interface ExpectedAnswer {
    readonly tokens: readonly string[];
    readonly text: string;
    readonly finishReason: "stop" | "length";
}

/** A hash of all messages (FNV-1a over UTF-16 units). */
export function hashMessages(messages: readonly ChatMessage[]): number {
    let hash = hashOffset;
    for (const message of messages) {
        for (const text of [message.role, message.content]) {
            for (let index = 0; index < text.length; index++) {
                hash = Math.imul(hash ^ text.charCodeAt(index), hashPrime);
            }
            hash = Math.imul(hash ^ 0xff, hashPrime);
        }
    }
    return hash >>> 0;
}

/** The token at a position of the answer to messages with the given hash. */
export function tokenOfHash(hash: number, position: number): string {
    const mixed = Math.imul((hash ^ Math.imul(position + 1, 0x9e3779b1)) >>> 0, 0x85ebca6b) >>> 0;
    return ` ${words[mixed % words.length]}${(mixed >>> 8) % 1000}`;
}

/** The token that any engine gives at a position of the answer to these messages. */
export function expectedToken(messages: readonly ChatMessage[], position: number): string {
    return tokenOfHash(hashMessages(messages), position);
}

/** Tokens in the whole answer: as many as a message asks for by `tokens=N`, else a length that follows its hash. */
export function expectedTokenCount(messages: readonly ChatMessage[], maximumTokens: number): number {
    const asked = messages.map(message => lengthPattern.exec(message.content)?.[1]).find(match => match !== undefined);
    const natural = asked === undefined
        ? shortestAnswer + (hashMessages(messages) % answerLengthSpread)
        : Number(asked);
    return Math.min(natural, maximumTokens);
}

/** The whole answer to these messages. */
export function expectedAnswer(messages: readonly ChatMessage[], maximumTokens: number): ExpectedAnswer {
    const count = expectedTokenCount(messages, maximumTokens);
    const hash = hashMessages(messages);
    const tokens = Array.from({ length: count }, (_unused, position) => tokenOfHash(hash, position));
    return { tokens, text: tokens.join(""), finishReason: finishReason(messages, maximumTokens) };
}

export function finishReason(messages: readonly ChatMessage[], maximumTokens: number): "stop" | "length" {
    return expectedTokenCount(messages, Number.MAX_SAFE_INTEGER) > maximumTokens ? "length" : "stop";
}
