/** HTTP clients of the platform's key-value service and list of VMs. */
export { HttpKeyValueService } from "./http-key-value-service.js";
export { HttpPlatformClient } from "./http-platform-client.js";
export { HttpVmList, vmListSchema } from "./http-vm-list.js";
