/** The way of a caller's request through a router: admission, answers, plain services and bookings. */
import type { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { RandomSource } from "../common/random.js";
import type { ConfigurationSource } from "../domain/configuration.js";
import type { KeyValueService } from "../domain/platform.js";
import { CustomerLimits } from "../process/customer-limits/customer-limits.js";
import type { DrainController } from "../process/drain/drain-controller.js";
import { TokenRetryBudgets } from "../process/retry-budgets/token-retry-budgets.js";
import type { RouterSettings } from "../process/settings/schema.js";
import { AdaptiveTokenLimit } from "../request/admission/adaptive-token-limit.js";
import { FairAdmission } from "../request/admission/fair-admission.js";
import { PipelineAnswerService } from "../request/answer/pipeline-answer-service.js";
import { ChatHandler } from "../request/chat/chat-handler.js";
import { CallerHandler } from "../request/http/caller-handler.js";
import type { BodyLimits } from "../request/http/read-body.js";
import { ModelsHandler } from "../request/models/models-handler.js";
import type { PipelineChooser } from "../request/pipeline-choice/types.js";
import { ServiceCaller } from "../request/service/service-caller.js";
import { ServiceHandler } from "../request/service/service-handler.js";
import type { BackendServerParts } from "./backend-servers.js";
import { BookingParts } from "./bookings.js";
import type { PeerParts } from "./peers.js";

/** Tokens under way at first; the limit then follows what backend servers do. */
const initialTokenLimit = 100_000;

export interface RequestPathOptions {
    readonly settings: RouterSettings;
    readonly configurations: ConfigurationSource;
    readonly drain: DrainController;
    readonly keyValueService: KeyValueService;
    readonly peers: PeerParts;
    readonly backendServers: BackendServerParts;
    readonly chooser: PipelineChooser;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class RequestPath {
    /** Answers callers over HTTP. */
    readonly handler: CallerHandler;
    private readonly retryBudgets = new TokenRetryBudgets();
    private readonly limits: CustomerLimits;
    private readonly bookings: BookingParts;
    private readonly serviceCaller: ServiceCaller;

    constructor(private readonly options: RequestPathOptions) {
        this.limits = new CustomerLimits(options.peers.membership);
        this.bookings = this.createBookings();
        this.serviceCaller = this.createServiceCaller();
        this.handler = this.createHandler();
    }

    /** Adds everything in the order of starting. */
    addTo(lifeCycle: LifeCycle): void {
        lifeCycle.add(this.limits);
        lifeCycle.add(this.bookings.ledger);
        lifeCycle.add(this.bookings.outcomes);
        lifeCycle.addCloseHandler("service connections", () => this.serviceCaller.close());
    }

    private createBookings(): BookingParts {
        const { keyValueService, peers, logger, metrics } = this.options;
        const bookings = new BookingParts({
            keyValueService,
            fleet: peers.membership,
            peers: peers.ledger,
            logger,
            metrics,
        });
        peers.serveBookings((operation, timeout) => bookings.ledger.submitHere(operation, timeout));
        return bookings;
    }

    private createServiceCaller(): ServiceCaller {
        const { backendServers, configurations, peers, random, logger, metrics } = this.options;
        return new ServiceCaller({
            instances: backendServers.services,
            own: peers.membership.self.location,
            topology: () => configurations.current.topology,
            health: backendServers.health,
            retryBudgets: this.retryBudgets,
            random,
            logger: logger.withLabel("services"),
            metrics,
        });
    }

    private createHandler(): CallerHandler {
        const { configurations, drain, logger, metrics } = this.options;
        const chat = this.createChatHandler();
        const services = this.createServiceHandler();
        const models = new ModelsHandler();
        return new CallerHandler(
            configurations,
            drain,
            {
                chat: exchange => chat.handle(exchange),
                listModels: exchange => models.list(exchange),
                retrieveModel: (exchange, name) => models.retrieve(exchange, name),
                service: (exchange, name, path) => services.handle(exchange, name, path),
            },
            () => drain.ready && configurations.current.version > 0,
            metrics,
            logger.withLabel("callers"),
        );
    }

    private createChatHandler(): ChatHandler {
        const { settings, backendServers, chooser, random, logger, metrics } = this.options;
        const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, metrics);
        const answers = new PipelineAnswerService({
            chooser,
            connections: backendServers.connections,
            ledger: backendServers.ledger,
            health: backendServers.health,
            retryBudgets: this.retryBudgets,
            capacity: tokenLimit,
            random,
            logger: logger.withLabel("answers"),
            metrics,
        });
        const admission = new FairAdmission({
            limits: this.limits,
            tokenLimit,
            logger: logger.withLabel("admission"),
            metrics,
        });
        return new ChatHandler(admission, answers, metrics, {
            bodyLimits: this.bodyLimits,
            maximumTimeoutMilliseconds: settings.callers.maximumTimeoutMilliseconds,
        });
    }

    private createServiceHandler(): ServiceHandler {
        const { callers } = this.options.settings;
        return new ServiceHandler(this.serviceCaller, this.bookings.service, {
            bodyLimits: this.bodyLimits,
            maximumTimeoutMilliseconds: callers.maximumTimeoutMilliseconds,
            maximumAnswerBytes: callers.maximumBodyBytes,
        });
    }

    private get bodyLimits(): BodyLimits {
        const { callers } = this.options.settings;
        return { maximumBytes: callers.maximumBodyBytes, timeoutMilliseconds: callers.bodyTimeoutMilliseconds };
    }
}
