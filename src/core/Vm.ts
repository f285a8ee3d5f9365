/**
 * VMs as published by the platform, and the status reports of endpoints.
 */
import * as z from 'zod';
import { vmIdSchema } from './ids';

/** Entry VMs run nodes of this system; engines and services are endpoints. @public */
export const vmRoleSchema = z.enum(['entry', 'engine', 'service']);
export type VmRole = z.infer<typeof vmRoleSchema>;

/** @public */
export const vmSchema = z
  .object({
    vmId: vmIdSchema,
    role: vmRoleSchema,
    /** Base URL for callers (entry VM) or for nodes (endpoint), with an IP address. */
    url: z.url(),
    /** `ip:port` of the link between nodes; entry VMs only. */
    peerAddress: z.string().optional(),
    dataCentre: z.string(),
    region: z.string(),
    state: z.enum(['live', 'leaving']),
    /** Models that an engine serves. */
    models: z.array(z.string()).readonly().optional(),
    /** Service that a service VM runs. */
    service: z.string().optional(),
    /** Whether an engine rejects requests with a stale fencing token. */
    checksFence: z.boolean().optional(),
  })
  .readonly();
export type Vm = z.infer<typeof vmSchema>;

/** Status that an endpoint reports; may be out of date. @public */
export const endpointReportSchema = z
  .object({
    memoryUsedTokens: z.number(),
    memoryTotalTokens: z.number(),
    running: z.number(),
    waiting: z.number(),
    preemptions: z.number(),
    leaving: z.boolean(),
    models: z.array(z.string()).readonly(),
  })
  .readonly();
export type EndpointReport = z.infer<typeof endpointReportSchema>;
