/** Handles POST /v1/chat/completions: parses the request, waits for admission and writes the answer. */
import { monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import { type Configuration, type Customer, isCustomerAllowed, type Route } from "../../domain/configuration.js";
import type { ModelDescription } from "../../domain/model.js";
import { estimatePromptTokens } from "../../domain/prefix-blocks.js";
import { BadRequestError, NotFoundError } from "../../errors/index.js";
import type { Admission } from "../admission/types.js";
import type { Answer, AnswerEnd, AnswerService } from "../answer/types.js";
import { requestDeadline } from "../http/deadline.js";
import { type BodyLimits, parseJsonBody, readBody } from "../http/read-body.js";
import type { CallerExchange } from "../http/types.js";
import { BufferedAnswerWriter, StreamedAnswerWriter } from "./answer-writers.js";
import { type ChatRequest, parseChatRequest } from "./parse-chat-request.js";

export interface ChatHandlerOptions {
    readonly bodyLimits: BodyLimits;
    readonly maximumTimeoutMilliseconds: number;
}

/** A chat request with the route, model and limits that the exchange's configuration version gives it. */
interface ResolvedChatRequest {
    readonly request: ChatRequest;
    readonly route: Route;
    readonly model: ModelDescription;
    readonly maximumTokens: number;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
}

export class ChatHandler {
    constructor(
        private readonly admission: Admission,
        private readonly answerService: AnswerService,
        private readonly metrics: Metrics,
        private readonly options: ChatHandlerOptions,
    ) {}

    /** Answers one request. Throws on failure; the response may then be partly sent. */
    async handle(exchange: CallerExchange): Promise<void> {
        const body = parseJsonBody(await readBody(exchange.request, this.options.bodyLimits));
        const chat = this.resolve(exchange, parseChatRequest(body));
        const promptTokens = estimatePromptTokens(chat.request.messages);
        const ticket = await this.admission.admit({
            requestId: exchange.requestId,
            customer: exchange.customer,
            route: chat.route,
            tokens: promptTokens + chat.maximumTokens,
            deadline: chat.deadline,
            signal: exchange.callerGone,
        });
        let end: AnswerEnd | undefined;
        try {
            end = await this.runAnswer(exchange, chat);
        }
        finally {
            ticket.release(end === undefined ? promptTokens : end.promptTokens + end.completionTokens);
        }
    }

    private resolve(exchange: CallerExchange, request: ChatRequest): ResolvedChatRequest {
        const route = findRoute(exchange.configuration, exchange.customer, request.route);
        const model = exchange.configuration.models.get(route.model);
        if (model === undefined) {
            throw new NotFoundError(`Route ${route.name} refers to a model that is not in the configuration.`);
        }
        if (request.maximumTokens !== undefined && request.maximumTokens > model.maximumTokens) {
            throw new BadRequestError(
                `max_tokens or max_completion_tokens exceeds the model's limit of ${model.maximumTokens}.`,
            );
        }
        return {
            request,
            route,
            model,
            maximumTokens: request.maximumTokens ?? model.maximumTokens,
            deadline: requestDeadline(
                exchange.request,
                exchange.startedAt,
                route.defaultTimeoutMilliseconds,
                this.options.maximumTimeoutMilliseconds,
            ),
        };
    }

    private async runAnswer(exchange: CallerExchange, chat: ResolvedChatRequest): Promise<AnswerEnd | undefined> {
        const answer = this.answerService.start({
            requestId: exchange.requestId,
            configuration: exchange.configuration,
            route: chat.route,
            model: chat.model,
            messages: chat.request.messages,
            maximumTokens: chat.maximumTokens,
            deadline: chat.deadline,
            callerGone: exchange.callerGone,
        });
        try {
            return await this.writeAnswer(exchange, chat, answer);
        }
        finally {
            this.metrics.timing("pomelostall.chat.duration", monotonicNow() - exchange.startedAt);
        }
    }

    private writeAnswer(
        exchange: CallerExchange,
        chat: ResolvedChatRequest,
        answer: Answer,
    ): Promise<AnswerEnd | undefined> {
        const header = {
            requestId: exchange.requestId,
            model: chat.request.route,
            created: Math.floor(Date.now() / 1000),
        };
        const writer = chat.request.stream
            ? new StreamedAnswerWriter(header, chat.request.includeUsage, this.metrics, exchange.startedAt)
            : new BufferedAnswerWriter(header);
        return writer.write(answer, exchange.response);
    }
}

/**
 * Returns the named route if the customer may use it. An unknown and a forbidden route give the same NotFoundError,
 * which does not reveal other customers' routes.
 */
function findRoute(configuration: Configuration, customer: Customer, name: string): Route {
    const route = configuration.routes.get(name);
    if (route === undefined || !isCustomerAllowed(route.customers, customer)) {
        throw new NotFoundError(`The model '${name}' does not exist or is not offered to this customer.`);
    }
    return route;
}
